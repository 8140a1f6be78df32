package relay

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Hubs is how many hosts follow the store for all: the second stands in at once
// when the first is gone.
const Hubs = 2

// Host is a host of the fleet as it registered itself.
type Host struct {
	Name    string
	Address string
	CPUs    float64 // share of a core; the largest hosts are chosen
}

// Choose returns the hosts that follow the store: the largest, and among equal
// ones those that a hash of the name puts first. Hosts with different lists may
// choose differently for a while, which costs calls and nothing else.
func Choose(hosts []Host) []Host {
	ranked := append([]Host(nil), hosts...)
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].CPUs != ranked[j].CPUs {
			return ranked[i].CPUs > ranked[j].CPUs
		}
		wi, wj := xxhash.Sum64String(ranked[i].Name), xxhash.Sum64String(ranked[j].Name)
		if wi != wj {
			return wi < wj
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked[:min(Hubs, len(ranked))]
}

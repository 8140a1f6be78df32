package relay

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Hubs is how many hosts follow the store for all: the second stands in at once
// when the first is gone.
const HubCount = 2

// Host is a host of the fleet as it registered itself.
type Host struct {
	Name    string
	Address string
	CPUs    float64 // share of a core
	Mbps    float64 // of its link
}

const (
	// hubCPUs and hubMbps are what a hub of some hundred hosts needs; a host's
	// size is the lesser of what it has of both, in these units.
	hubCPUs = 0.4
	hubMbps = 100.0
)

func (h *Host) capacity() float64 { return min(h.CPUs/hubCPUs, h.Mbps/hubMbps) }

// Choose returns the hosts that follow the store: the largest, and among equal
// ones those that a hash of the name puts first. Hosts with different lists may
// choose differently for a while, which costs calls and nothing else.
func ChooseHubs(hosts []Host) []Host {
	ranked := append([]Host(nil), hosts...)
	sort.Slice(ranked, func(i, j int) bool {
		if si, sj := ranked[i].capacity(), ranked[j].capacity(); si != sj {
			return si > sj
		}
		wi, wj := xxhash.Sum64String(ranked[i].Name), xxhash.Sum64String(ranked[j].Name)
		if wi != wj {
			return wi < wj
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked[:min(HubCount, len(ranked))]
}

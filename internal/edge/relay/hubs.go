package relay

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// HubCount is how many hosts follow the store for the fleet. There are two, so that
// one takes over immediately when the other fails.
const HubCount = 2

// Host is a host of the fleet as it registered itself in the store.
type Host struct {
	Name    string
	Address string
	CPUs    float64 // processor share, in cores
	Mbps    float64 // bandwidth of its link
	Forward string  // address for requests that it is asked to send to targets; "" if it sends none
}

const (
	// hubCPUs and hubMbps are what a hub of a few hundred hosts needs. A host's
	// capacity is the lesser of its processor share and bandwidth in these units.
	hubCPUs = 0.4
	hubMbps = 100.0
)

func (h *Host) capacity() float64 { return min(h.CPUs/hubCPUs, h.Mbps/hubMbps) }

// ChooseHubs returns the hosts that follow the store: those with the largest
// capacity, ties broken by a hash of the name. Hosts with different lists of hosts may
// choose differently for a while, which only costs additional calls.
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

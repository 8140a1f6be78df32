package relay

import (
	"encoding/json"
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
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
	Region  string  // "" if it is not known, as of a host of an older build
}

const (
	// hubCPUs and hubMbps are what a hub of a few hundred hosts needs. A host's
	// capacity is the lesser of its processor share and bandwidth in these units.
	hubCPUs = 0.4
	hubMbps = 100.0
)

// Bounds of what the entry of a host may hold. Others may write entries too.
const (
	maxHostBytes = 4 << 10
	maxHostCPUs  = 4096
	maxHostMbps  = 1e7
)

// DecodeHost decodes the entry of a host. It returns an error for one that a host can't have written: the
// hosts would choose it as a hub, or count it.
func DecodeHost(name string, value []byte) (Host, error) {
	var h Host
	if len(value) > maxHostBytes {
		return Host{}, eris.Errorf("host %s: entry of %d bytes, more than %d", name, len(value), maxHostBytes)
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return Host{}, eris.Wrapf(err, "host %s: entry is not valid JSON", name)
	}
	switch {
	case name == "" || h.Name != name:
		return Host{}, eris.Errorf("host %s: entry names %.64q", name, h.Name)
	case !isAddress(h.Address) || h.Forward != "" && !isAddress(h.Forward):
		return Host{}, eris.Errorf("host %s: addresses %.64q and %.64q are not ip:port", name, h.Address, h.Forward)
	case h.CPUs < 0 || h.CPUs > maxHostCPUs || h.Mbps < 0 || h.Mbps > maxHostMbps:
		return Host{}, eris.Errorf("host %s: %g processors and %g Mbit/s are out of range", name, h.CPUs, h.Mbps)
	}
	return h, nil
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

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

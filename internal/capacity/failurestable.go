package capacity

import (
	"fmt"
	"math"
)

const (
	// rowBytes is the size of a member's or target's row in a message.
	rowBytes = 250.0
	// extraSends is what a rumor is sent beyond the binary logarithm of the fleet.
	extraSends = 3.0
	rackHosts  = 20.0 // assumed; a rack's share of a failure domain of 26 nodes
)

// failure is what goes at once, and how.
type failure struct {
	name    string
	hosts   float64 // that others see change
	targets float64 // that are lost with them
	planned bool    // gateways drain, so that no caller loses its stream
	cut     bool    // the hosts live on behind a cut, with their callers and targets
	store   string
}

// failuresTable works out what failures cost at a size.
func failuresTable(s Size) string {
	domain := s.Nodes / s.Domains
	region := s.Nodes / s.Regions
	strangers := fmt.Sprintf("%.0f reads/s more for %.0f s", s.Nodes/strangerList, registrationLease)
	start := fmt.Sprintf("%.0f writes and %.0f reads once", writesPerStart, startReads+1+chunksPerChange)
	rows := [][]string{{"failure", "rows that a node sends at most", "streams", "targets observed anew, pools with a new owner", "store"}}
	for _, f := range []failure{
		{name: fmt.Sprintf("one host lost, %.0f a day", s.LossesPerDay), hosts: 1, store: strangers},
		{name: fmt.Sprintf("one host restarted, %.0f a day", s.RestartsPerDay), hosts: 1, planned: true, store: start},
		{name: fmt.Sprintf("a rack of %.0f hosts lost", rackHosts), hosts: rackHosts, store: strangers},
		{name: fmt.Sprintf("a failure domain lost, %.0f hosts and %.0f targets", domain, s.Servers/s.Domains), hosts: domain, targets: s.Servers / s.Domains, store: strangers},
		{name: fmt.Sprintf("one region apart, as the others see it: %.0f hosts", region), hosts: region, cut: true, store: strangers},
		{name: fmt.Sprintf("one region apart, as it sees the others: %.0f hosts", s.Nodes-region), hosts: s.Nodes - region, cut: true, store: "out of its reach, or as above"},
	} {
		rows = append(rows, f.row(s))
	}
	return table(rows)
}

func (f failure) row(s Size) []string {
	sends := math.Ceil(math.Log2(s.Nodes)) + extraSends
	changes := f.hosts + f.targets
	streams := fmt.Sprintf("%.0f callers reconnect; %.0f generations lose their engine", s.OpenStreams()*f.hosts/s.Nodes, s.OpenStreams()*f.targets/s.Servers)
	duties := fmt.Sprintf("%.0f targets, %.1f pools", s.Servers*f.hosts/s.Nodes*(1-f.targets*s.Regions/s.Servers), s.Pools()*f.hosts/s.Nodes)
	switch {
	case f.planned:
		streams = "none is cut; the gateway finishes them"
	case f.cut:
		streams = "none: callers, gateways and targets of a region stay together"
		duties = "none: both belong to a region"
	}
	return []string{f.name, fmt.Sprintf("%.0f × %.0f sends, %.0f kB once", changes, sends, changes*sends*rowBytes/1000), streams, duties, f.store}
}

package capacity

import (
	"fmt"
	"math"
)

const (
	// gossipRowBytes is the size of a host's or target's row in a gossip message.
	gossipRowBytes = 250.0
	// extraGossipSends is added to the binary logarithm of the number of hosts to get the
	// number of times that a host sends one changed row.
	extraGossipSends = 3.0
	rackHosts        = 20.0 // assumption; a failure domain has 26 hosts
)

// failureCase is a failure whose cost is computed.
type failureCase struct {
	name         string
	changedHosts float64 // hosts whose state changes in the view of the others
	lostTargets  float64 // targets lost together with the hosts
	planned      bool    // gateways drain, so no stream is interrupted
	partitioned  bool    // the hosts are alive but unreachable, together with their callers and targets
	storeLoad    string
}

// failuresTable returns a table of the cost of failures in a deployment of the given
// size.
func failuresTable(s Size) string {
	domain := s.Hosts / s.Domains
	region := s.Hosts / s.Regions
	probeReads := fmt.Sprintf("%.0f reads/s more for %.0f s", s.Hosts/unknownHostListInterval, registrationLeaseTTL)
	restartCalls := fmt.Sprintf("%.0f writes and %.0f reads once", writesPerStart, readsPerStart+1+chunksPerChange)
	rows := [][]string{{"failure", "rows that a node sends at most", "streams", "targets observed anew, pools with a new owner", "store"}}
	for _, f := range []failureCase{
		{name: fmt.Sprintf("one host lost, %.0f a day", s.HostLossesPerDay), changedHosts: 1, storeLoad: probeReads},
		{name: fmt.Sprintf("one host restarted, %.0f a day", s.HostRestartsPerDay), changedHosts: 1, planned: true, storeLoad: restartCalls},
		{name: fmt.Sprintf("a rack of %.0f hosts lost", rackHosts), changedHosts: rackHosts, storeLoad: probeReads},
		{name: fmt.Sprintf("a failure domain lost, %.0f hosts and %.0f targets", domain, s.Targets/s.Domains), changedHosts: domain, lostTargets: s.Targets / s.Domains, storeLoad: probeReads},
		{name: fmt.Sprintf("one region apart, as the others see it: %.0f hosts", region), changedHosts: region, partitioned: true, storeLoad: probeReads},
		{name: fmt.Sprintf("one region apart, as it sees the others: %.0f hosts", s.Hosts-region), changedHosts: s.Hosts - region, partitioned: true, storeLoad: "out of its reach, or as above"},
	} {
		rows = append(rows, f.row(s))
	}
	return markdownTable(rows)
}

// row returns the table row of the failure in a deployment of the given size.
func (f failureCase) row(s Size) []string {
	sends := math.Ceil(math.Log2(s.Hosts)) + extraGossipSends
	changes := f.changedHosts + f.lostTargets
	streams := fmt.Sprintf("%.0f callers reconnect; %.0f generations lose their engine", s.OpenStreams()*f.changedHosts/s.Hosts, s.OpenStreams()*f.lostTargets/s.Targets)
	// Hosts observe the targets of their own region, of which the lost ones need no new
	// observer.
	reassigned := fmt.Sprintf("%.0f targets, %.1f pools", s.Targets*f.changedHosts/s.Hosts*(1-f.lostTargets*s.Regions/s.Targets), s.Pools()*f.changedHosts/s.Hosts)
	switch {
	case f.planned:
		streams = "none is cut; the gateway finishes them"
	case f.partitioned:
		streams = "none: callers, gateways and targets of a region stay together"
		reassigned = "none: both belong to a region"
	}
	return []string{f.name, fmt.Sprintf("%.0f × %.0f sends, %.0f kB once", changes, sends, changes*sends*gossipRowBytes/1000), streams, reassigned, f.storeLoad}
}

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

// failuresTable works out what failures cost at a size.
func failuresTable(s Size) string {
	sends := math.Ceil(math.Log2(s.Nodes)) + extraSends
	streams := s.OpenStreams()
	domain := s.Nodes / s.Domains
	region := s.Nodes / s.Regions
	rows := [][]string{{"failure", "rows that travel, each node", "streams", "targets observed anew, pools with a new owner", "store"}}
	loss := func(name string, hosts, targets float64, store string) {
		rows = append(rows, []string{
			name,
			fmt.Sprintf("%.0f changes × %.0f sends = %.0f kB once", hosts+targets, sends, (hosts+targets)*sends*rowBytes/1000),
			fmt.Sprintf("%.0f callers reconnect; %.0f generations lose their engine", streams*hosts/s.Nodes, streams*targets/s.Servers),
			fmt.Sprintf("%.0f targets, %.1f pools", s.Servers*hosts/s.Nodes, s.Pools()*hosts/s.Nodes),
			store,
		})
	}
	strangers := fmt.Sprintf("%.0f reads/s more for %.0f s", s.Nodes/strangerList, registrationLease)
	loss(fmt.Sprintf("one host lost, %.0f a day", s.LossesPerDay), 1, 0, strangers)
	loss(fmt.Sprintf("one host restarted, %.0f a day, drained", s.RestartsPerDay), 1, 0, fmt.Sprintf("%.0f writes and %.0f reads once", writesPerStart, startReads+1+chunksPerChange))
	loss(fmt.Sprintf("a rack of %.0f hosts lost, no targets", rackHosts), rackHosts, 0, strangers)
	loss(fmt.Sprintf("a failure domain lost, %.0f hosts and %.0f targets", domain, s.Servers/s.Domains), domain, s.Servers/s.Domains, strangers)
	loss(fmt.Sprintf("regions apart: %.0f hosts gone as one side sees it", region), region, 0, strangers)
	return table(rows)
}

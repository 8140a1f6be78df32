// Package node describes the host that the edge process runs on, as its
// platform's settings tell.
package node

import (
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// RetryBudget bounds what the whole fleet may send beyond the first time: in
// each window Ratio x the requests + Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Node holds the settings of one host.
type Node struct {
	Name             string
	IP               string
	Domain           string // failure domain
	CallerAddress    string // ip:port for callers
	ReadinessAddress string // ip:port for readiness checks and metrics
	FirstPort        int    // of those free for the system's own connections
	StoreAddress     string
	CPUs             float64       // share of a core
	MemoryBytes      int64         // the process is killed beyond it
	LinkMbps         float64       // of the host's link
	Grace            time.Duration // from SIGTERM to SIGKILL
	ApplyWithin      time.Duration // a configuration is in force everywhere within this
	RevokeWithin     time.Duration // a removed API key admits nothing later than this
	RevokeStrict     bool          // RevokeWithin holds on hosts that are cut off, too
	Retry            RetryBudget
	TargetHeartbeat  time.Duration // period of the targets' own entries
}

// PeerAddress is where this host serves the system's own calls.
func (n *Node) PeerAddress() string { return net.JoinHostPort(n.IP, strconv.Itoa(n.FirstPort)) }

// Validate checks what the process cannot run without.
func (n *Node) Validate() error {
	for field, value := range map[string]string{
		"name": n.Name, "ip": n.IP, "front address": n.CallerAddress, "ready address": n.ReadinessAddress, "store address": n.StoreAddress,
	} {
		if value == "" {
			return eris.Errorf("node file: %s is missing; the platform must set it", field)
		}
	}
	if n.FirstPort <= 0 {
		return eris.New("node file: no ports for the system's own connections; the platform must set them")
	}
	return nil
}

// Package node describes the host that the edge process runs on, as configured by
// its platform.
package node

import (
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// RetryBudget bounds what the whole fleet may send in addition to first sends: in
// each window Ratio x the requests + Slack.
type RetryBudget struct {
	Ratio  float64 // share of the requests in a window
	Slack  float64 // additional sends in a window
	Window time.Duration
}

// Node holds the settings of one host.
type Node struct {
	Name             string
	IP               string
	Domain           string // failure domain
	CallerAddress    string // ip:port where callers connect
	ReadinessAddress string // ip:port of readiness checks and metrics
	FirstPort        int    // first of the ports reserved for the system's own connections
	LastPort         int    // last of them
	StoreAddress     string
	CPUs             float64       // processor share, in cores
	MemoryBytes      int64         // the process is killed if it uses more
	LinkMbps         float64       // bandwidth of the host's link
	Grace            time.Duration // from SIGTERM to SIGKILL
	ApplyWithin      time.Duration // bound on the time until a configuration is in force on all hosts
	RevokeWithin     time.Duration // bound on the time until a revoked API key is rejected everywhere
	RevokeStrict     bool          // RevokeWithin also holds on partitioned hosts
	Retry            RetryBudget
	TargetHeartbeat  time.Duration // period in which targets renew their entries in the store

	Region      string            // of this host
	Regions     map[string]string // region of each failure domain
	Descriptors int               // file descriptors that the process may have open; 0 if unknown
	// EvacuateWithin bounds the time until an evacuated failure domain gets no more requests; 0 if
	// the deployment evacuates none.
	EvacuateWithin time.Duration
	Cold           ColdBound
	// OrderedAdmission makes runs that wait for an engine take turns in one order over all hosts.
	OrderedAdmission bool
}

// ColdBound bounds what the whole fleet may send a cold target: in each second Factor x the rate
// that its service states + Slack. Zero if the deployment sets no bound.
type ColdBound struct {
	Factor float64
	Slack  float64 // requests in a second
}

// PeerAddress returns the address where this host serves the calls of other hosts.
func (n *Node) PeerAddress() string { return net.JoinHostPort(n.IP, strconv.Itoa(n.FirstPort)) }

// ForwardAddress returns the address where this host takes requests that other hosts ask it to
// send, "" if no port is reserved for that.
func (n *Node) ForwardAddress() string {
	if n.LastPort <= n.FirstPort {
		return ""
	}
	return net.JoinHostPort(n.IP, strconv.Itoa(n.FirstPort+1))
}

// Validate checks the settings that the process cannot run without.
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

package platform

import "context"

// TargetKind tells what runs on a target.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target is one entry of the platform's list of hosts that do the work. The
// list lags behind reality.
type Target struct {
	Name    string     `json:"name"`
	Address string     `json:"address"` // ip:port
	Domain  string     `json:"domain"`  // failure domain
	Region  string     `json:"region"`
	Kind    TargetKind `json:"kind"`
	Service string     `json:"service,omitempty"` // plain service's name, for TargetService
	Leaving bool       `json:"leaving"`
}

// HostList is the platform's list of live and leaving targets.
type HostList interface {
	// Targets returns the current list, which lags.
	Targets(ctx context.Context) ([]Target, error)
}

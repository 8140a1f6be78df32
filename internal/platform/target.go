package platform

import "context"

// TargetKind is the kind of workload that a target runs.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target is one entry of the platform's host list: an engine or an instance of a plain
// service. The list lags behind the actual state.
type Target struct {
	Name    string     `json:"name"`
	Address string     `json:"address"` // ip:port
	Domain  string     `json:"domain"`  // failure domain
	Region  string     `json:"region"`
	Kind    TargetKind `json:"kind"`
	Service string     `json:"service,omitempty"` // name of the plain service, for TargetService
	Leaving bool       `json:"leaving"`
}

// HostList reads the platform's list of targets, which is called the host list. It
// contains the live and leaving targets.
type HostList interface {
	// Targets returns the current list, which may be out of date.
	Targets(ctx context.Context) ([]Target, error)
}

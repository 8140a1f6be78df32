package peers

import (
	"time"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/platform"
)

// SyncArgs is what a host tells a hub, and what it has already.
type SyncArgs struct {
	Host           string
	Loads          map[string]inflight.Load // in flight from this host, by incarnation of the target
	Leaving        []string                 // incarnations that are surely leaving
	Failing        []string                 // incarnations that failed this host lately
	PolicyRevision int64
	ListRevision   platform.Revision
	// WantFleet asks for the loads of all hosts, which only a host that must
	// place runs alone needs.
	WantFleet bool
}

// SyncReply is what a hub answers.
type SyncReply struct {
	// Live tells whether the hub follows the store at this moment. Otherwise the
	// rest is old and another source must be asked.
	Live    bool
	Fleet   map[string]inflight.Load            // in flight from all other hosts, if asked for
	Parts   map[string]map[string]inflight.Load // the same by host, for targets that leave
	Leaving []string
	Failing map[string]int // how many other hosts each target failed lately
	List    relay.Changes
	Vouch   Confirmation
}

// PlaceArgs asks a hub for an engine.
type PlaceArgs struct {
	Host    string
	Service string
	Need    placement.Requirements
	Load    inflight.Load // that the run adds
	Tried   []string      // incarnations that are out of the question
}

// PlaceReply names it.
type PlaceReply struct {
	// Able tells whether the hub can decide; otherwise the host chooses alone.
	Able bool
	placement.Decision
}

// Vouch tells how fresh a host's configuration is.
type Confirmation struct {
	Revision int64
	// Age is the time since the configuration was surely the newest, as of a
	// moment after the question arrived.
	Age time.Duration
	Raw []byte // the configuration, if it is newer than the asking host's
}

// VouchArgs asks a host to vouch for the configuration.
type VouchArgs struct{ Revision int64 }

// NoticeArgs is news that cannot wait for the next Sync.
type NoticeArgs struct {
	Host    string
	Leaving []string
	Parts   map[string]map[string]inflight.Load // in flight at them by host, if a hub tells
}

// NoticeReply is empty.
type NoticeReply struct{}

package peers

import (
	"time"

	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targetspeed"
	"corianderhitch/internal/edge/waitlist"
	"corianderhitch/internal/edge/warmup"
	"corianderhitch/internal/platform"
)

// SyncArgs carries a host's state to a hub, and the revisions that the host already
// has.
type SyncArgs struct {
	Host           string
	Loads          map[string]inflight.Load // in flight from this host, by target incarnation
	Leaving        []string                 // incarnations that are known to be leaving
	Failing        []string                 // incarnations that recently failed requests of this host
	Limits         []targetnotice.LimitNotice
	Pauses         []targetnotice.PauseNotice // that engines want from this host; older builds state none
	Cold           []warmup.Notice
	PolicyRevision platform.Revision
	PolicyVersion  int64
	Fetches        bool // see VouchArgs.Fetches; whole lists of targets too
	ListRevision   platform.Revision
	ListSettling   bool // see relay.ChangeLog.Settling
	// Evacuation are the evacuated failure domains as this host knows them: a hub that has lost the
	// store chooses engines for others.
	Evacuation evacuation.Snapshot
	// Evidence is what the hub lacks of this host's evidence of crashing requests.
	Evidence EvidenceArgs
	// Speed is what the host has newly observed of targets, only for the hub that merges it.
	Speed targetspeed.Report
	// WantFleet requests the loads of all hosts. Only a host that has to place runs
	// itself needs them.
	WantFleet bool
}

// SyncReply is a hub's answer to SyncArgs.
type SyncReply struct {
	// Live reports whether the hub currently follows the store. If not, List may be
	// outdated and is ignored.
	Live    bool
	Fleet   map[string]inflight.Load            // in flight from all other hosts, if WantFleet was set
	Parts   map[string]map[string]inflight.Load // in flight by target and host, for leaving targets
	Leaving []string
	Failing map[string]int // number of other hosts for which each target recently failed
	Limits  []targetnotice.LimitNotice
	Pauses  []targetnotice.PauseNotice // that engines want from any host; older builds state none
	Cold    []warmup.Notice
	// Era is the latest era of the store that the hub knows, SettledEra the same if that
	// era is settled.
	Era        int64
	SettledEra int64
	List       relay.Changes
	Vouch      Confirmation
	Evidence   EvidenceReply
	Speed      targetspeed.Factors // that have changed
}

// PlaceArgs asks a hub to choose an engine for a run.
type PlaceArgs struct {
	Host    string
	Service string
	Need    placement.Requirements
	Load    inflight.Load // added by the run
	Tried   []string      // incarnations that must not be chosen
	// Ask is the run's place in the order of all hosts; nil from hosts that don't order their
	// runs and for runs that don't wait. Others are runs that wait behind it at its host.
	Ask    *waitlist.Ask
	Others []waitlist.Ask
	// WithoutPermit are those of Tried that the host excludes only because they are cold and it has no
	// permit of its own for them. The hub may choose one if it grants a permit. Older builds state none.
	WithoutPermit []string
}

// PlaceReply is the hub's answer to PlaceArgs.
type PlaceReply struct {
	// Able reports whether the hub could decide. Otherwise the host chooses itself.
	Able bool
	// Permitted reports whether the hub grants the permit to send the run to the chosen target, which is
	// cold, within warmup.HubPermitFor. Older builds grant none.
	Permitted bool
	placement.Decision
	// Order is what the order of all hosts decided; nil if Ask was, or the hub doesn't know it.
	Order *waitlist.Verdict
}

// Confirmation states how fresh a host's configuration is.
type Confirmation struct {
	Revision platform.Revision
	Version  int64
	// Age is the time since the configuration was last confirmed to be the newest,
	// measured after the request arrived.
	Age time.Duration
	// Raw is the configuration if it is newer than the caller's, and small or the caller doesn't fetch it.
	Raw []byte
	// Evacuation is what else was confirmed: the evacuated failure domains.
	Evacuation evacuation.Snapshot
	// AsOf is the revision of the store as of which the configuration and the evacuated failure domains are
	// the newest; 0 if that is not known, as to older builds.
	AsOf platform.Revision
}

// VouchArgs asks a host for a Confirmation. Revision and Version are those of the caller's
// own configuration.
type VouchArgs struct {
	Revision platform.Revision
	Version  int64
	// Fetches states that the caller fetches large texts in parts. Older builds don't.
	Fetches bool
}

// ConfigurationArgs asks a host for a part of the configuration with a revision and version, packed.
type ConfigurationArgs struct {
	Revision platform.Revision
	Version  int64
	Offset   int // of the part, in bytes
}

// TargetListArgs asks a hub for a part of its whole list of targets, packed.
type TargetListArgs struct {
	Sum    uint64 // of the list of which the caller has the start; 0 for none
	Offset int    // of the part, in bytes
}

// NoticeArgs carries updates that are too urgent for the next Sync.
type NoticeArgs struct {
	Host    string
	Leaving []string
	Parts   map[string]map[string]inflight.Load // load in flight at them by target and host; set by hubs only
}

// NoticeReply is empty.
type NoticeReply struct{}

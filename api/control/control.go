// Package control defines the net/rpc messages between gateways and agents and
// between agents. Correctness depends on none of them: a lost or repeated message may
// cost efficiency only. Gob encodes exported fields under their names, so
// renaming a field breaks compatibility with running processes.
//
// Services (net/rpc over TCP, gob):
//
//	Control.Snapshot    gateway -> agent of the same host; replicated state, long poll
//	Control.News        gateway -> agent of the same host; events
//	Control.Status      operator CLI, gateway -> any agent; state of the fleet
//	Control.Explain     operator CLI -> any agent; decisions about a request
//	Scheduler.Admit     gateway -> owner agent of the pool; waits in the fair queue
//	Scheduler.Finish    gateway -> owner agent of the pool; also withdraws a waiting ticket
//	Directory.Register  gateway -> owner agent of the request id
//	Directory.Lookup    gateway -> owner agent of the request id
//	Peer.Exchange       agent -> agent; heartbeat, events and anti-entropy
//	Peer.Observed       observing agent -> owner agent of the pool; load and cache events
//	Peer.Self           agent -> agent; the peer's own member record
//	Peer.Decisions      agent -> agent; recent decisions, for Control.Explain
package control

import (
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/platform"
)

// MemberState is the state of a host as its peers see it.
type MemberState string

// The states of a member.
const (
	MemberAlive    MemberState = "alive"
	MemberSuspect  MemberState = "suspect"  // an exchange failed; dead unless refuted in time
	MemberDraining MemberState = "draining" // the gateway takes no new requests and finishes its streams
	MemberDead     MemberState = "dead"
	MemberLeft     MemberState = "left" // stopped in an orderly way
)

// Member is the membership record of one host. Of two records of a host, the one with
// the higher Incarnation is newer, then the one with the higher Heartbeat; a record
// with state left is newer than any other of its incarnation.
type Member struct {
	Host        string // unique name from the settings
	Domain      string // failure domain
	Region      string
	AgentAddr   string // ip:port of the agent's net/rpc
	GatewayAddr string // ip:port of the gateway's HTTP server; empty while no gateway is attached
	Incarnation int64  // start time of the agent, Unix nanoseconds
	Heartbeat   int64  // raised when State or GatewayAddr change, and to refute a suspicion
	State       MemberState
	// DocumentRevision and GatewayRevision are the document revisions in force in the
	// host's agent and in its gateway.
	DocumentRevision int64
	GatewayRevision  int64
}

// AgentsOfOthers returns the addresses of the agents of the hosts that are alive, without one host: of
// those in its region if there are any.
func AgentsOfOthers(members []Member, host, region string) []string {
	var near, all []string
	for _, m := range members {
		if m.Host == host || m.State != MemberAlive || m.AgentAddr == "" {
			continue
		}
		all = append(all, m.AgentAddr)
		if m.Region == region {
			near = append(near, m.AgentAddr)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// TargetState is the state of one target as its observing host last reported it.
type TargetState struct {
	platform.Target
	Load     engine.LoadReport // zero for plain services
	Observed time.Time         // time of the last successful poll by Owner
	Healthy  bool
	Owner    string // host that observes the target
	// Version rises when anything but the load changes. The state with the higher
	// version is newer; states with equal versions are ordered by Observed.
	Version int64
	// ListedLeaving is set while the platform's list marks the target as leaving.
	ListedLeaving bool
	// Left is set when the target is no longer in the platform's list.
	Left bool
}

// SnapshotArgs requests the agent's state once it is newer than a version.
type SnapshotArgs struct {
	Host             string // host of the gateway; empty means the agent's host
	GatewayAddr      string
	After            int64         // version that the gateway has; 0 for none
	Wait             time.Duration // longest time to wait for a newer version
	DocumentRevision int64         // document revision in force in the gateway
	Draining         bool
}

// SnapshotReply is the complete state that a gateway needs. Document is empty if its
// revision equals that in SnapshotArgs.
type SnapshotReply struct {
	Version          int64
	Document         []byte // canonical JSON of internal/document.Document
	DocumentRevision int64
	Targets          []TargetState
	Members          []Member
}

// EventKind is the kind of an event that a gateway observed on the data path.
type EventKind string

// The kinds of events.
const (
	EventLeaving  EventKind = "leaving"  // the target rejected a request because it is leaving
	EventDown     EventKind = "down"     // a connection was refused or broken
	EventCrash    EventKind = "crash"    // the target crashed while it ran Fingerprint
	EventCleared  EventKind = "cleared"  // Fingerprint completed and is no longer a suspect
	EventSurvived EventKind = "passed"   // Fingerprint ran on past the point at which its target had crashed
	EventReleased EventKind = "released" // an operator released the held Prefixes
	EventHeld     EventKind = "held"     // a host began to hold back the Prefixes
)

// Event is an event about a target or a request. It is spread to all hosts.
type Event struct {
	ID          string // unique; duplicates are suppressed
	Kind        EventKind
	Target      string
	Ticket      string   // unique per attempt, for EventCrash
	Fingerprint uint64   // hash of request body and account, for events about a request
	Produced    int      // output tokens before the crash, for EventCrash
	Beside      []uint64 // fingerprints of the co-resident requests, for EventCrash
	// Prefixes are hashes of beginnings of the prompt, shortest first: of a request whose
	// target crashed before its first token, or in EventCleared without Fingerprint those
	// under which an answer began Since before the event.
	Prefixes []uint64
	Since    time.Duration
	Seen     time.Time // when it was observed
	// Age is the time since agents received an event about a suspect, which does not depend
	// on the hosts' clocks. It is zero in what a gateway reports.
	Age time.Duration
}

// EventsArgs carries events.
type EventsArgs struct{ News []Event }

// Empty is an empty reply.
type Empty struct{}

// AdmitArgs requests a slot on a target from the owner of a pool.
type AdmitArgs struct {
	Ticket       string // unique per attempt; Finish names it
	Host         string // gateway's host
	Region       string // gateway's region; empty means the region in Host's member record
	RequestID    string // caller's request id, for Control.Explain
	Incarnation  int64  // start time of the gateway, Unix nanoseconds; 0 if unknown
	Account      string
	Model        string
	Version      string
	Adapter      string
	Class        string // document class: "interactive", "bulk", "late"
	Priority     int    // 0 to 9
	Weight       float64
	PromptTokens int
	Produced     int // output tokens that exist already, if the request is a continuation
	MaxTokens    int
	PrefixHashes []uint64 // chained block hashes of the prompt, longest last
	Deadline     time.Time
	Fingerprint  uint64
	Avoid        []string // targets that the gateway has tried for this request
	// TraceParent is the W3C trace context of the request; empty for none.
	TraceParent string
	// News holds the events that the gateway observed at the targets it tried for this
	// request. The owner applies them before it decides, since Control.News may deliver
	// them later.
	News []Event
}

// AdmitReply returns the granted target or the reason for the rejection.
type AdmitReply struct {
	Target  platform.Target
	Granted bool
	// Kind, Detail and RetryAfter are set if the request was rejected.
	Kind       string        // problem.Kind
	Detail     string        // one sentence
	RetryAfter time.Duration // estimate from the measured drain rate of the queue
	// Reason explains the decision, for "hitchctl explain".
	Reason string
}

// FinishArgs releases the slots of generations that have ended.
type FinishArgs struct{ Finished []Finished }

// Finished reports how a granted ticket ended.
type Finished struct {
	Ticket   string
	Target   string
	Account  string
	Model    string
	Class    string
	Produced int  // total output tokens
	Complete bool // false if the generation was interrupted or canceled, so that its length is a censored observation
}

// DirectoryEntry records which target runs the generation of a request.
type DirectoryEntry struct {
	Account    string
	RequestID  string
	BodyHash   uint64
	Generation string
	Target     platform.Target
	Model      string
	Version    string
	Adapter    string
	Expires    time.Time
}

// DirectoryKey identifies an entry.
type DirectoryKey struct {
	Account   string
	RequestID string
}

// RegisterReply returns the entry in place after the call: the caller's, if Won is set,
// or the one that another gateway had registered.
type RegisterReply struct {
	Entry DirectoryEntry
	Won   bool
}

// LookupReply returns the entry if one was found.
type LookupReply struct {
	Entry DirectoryEntry
	Found bool
}

// Digest is the checksum of a replicated table; equal checksums mean equal tables.
// Buckets holds the checksums of the buckets, into which rows are divided by the hash of
// their key. It is set only once Sum was found to differ, so that only the rows of
// differing buckets are sent.
type Digest struct {
	Sum     uint64
	Buckets []uint64
}

// ExchangeArgs is the request of a gossip exchange between two agents. It serves as a
// heartbeat, carries changes, and reconciles the tables.
type ExchangeArgs struct {
	Environment      string // must be the same in both agents
	From             Member
	Members          []Member // changes that the peer is not known to have, or rows of differing buckets
	DocumentRevision int64
	Targets          []TargetState // as Members
	News             []Event
	DocumentHash     uint64 // hash of the document of DocumentRevision
	MemberDigest     Digest
	TargetDigest     Digest
	EventDigest      Digest   // of the events about suspects of crashes
	EventHashes      []uint64 // hashes of the events that the caller has in differing buckets, if EventDigest has buckets
}

// ExchangeReply is the reply of a gossip exchange, with the changes that the caller is
// missing.
type ExchangeReply struct {
	From             Member
	Members          []Member
	Document         []byte // set if the callee has a higher revision
	DocumentRevision int64
	Targets          []TargetState
	News             []Event
	DocumentHash     uint64 // hash of the document of DocumentRevision
	MemberDigest     Digest
	TargetDigest     Digest
	EventDigest      Digest // with buckets if the caller may lack further events
}

// CacheDelta carries the prefix cache events of one target. Lost marks a gap in the
// events, after which the content of the target's cache is unknown.
type CacheDelta struct {
	Target string
	Stored []uint64
	Evict  []uint64
	Lost   bool
}

// ObservedArgs carries new load reports and cache events to the owner of the pools that
// the targets belong to.
type ObservedArgs struct {
	Targets []TargetState
	Cache   []CacheDelta
}

// DecisionsReply lists one agent's decisions about a request, oldest first.
type DecisionsReply struct{ Lines []string }

// HeldPrefix is a beginning of prompts that is held back since targets crashed under it.
type HeldPrefix struct {
	Prefix  string        // hash in hexadecimal
	Targets []string      // that crashed
	For     time.Duration // from now, until requests with it are tried again
}

// StatusReply is the state of the fleet as one agent sees it.
type StatusReply struct {
	Held             []HeldPrefix
	Members          []Member
	Targets          []TargetState
	DocumentRevision int64
	Environment      string
	StoreReachable   bool
}

// ExplainArgs requests the recorded decisions about a request.
type ExplainArgs struct {
	Account   string // client account that sent the request
	RequestID string // the caller's Idempotency-Key, or the generated id
}

// ExplainReply returns the decisions that the agents still remember.
type ExplainReply struct {
	Found bool
	Lines []string // one decision a line, oldest first
}

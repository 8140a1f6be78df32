// Package control defines the net/rpc messages between gateway and agent and
// between agents. Every message is a hint: losing or repeating one may cost
// efficiency, never correctness.
//
// Services (net/rpc over TCP, gob):
//
//	Control.Snapshot    gateway -> agent of the same host; long poll
//	Control.News        gateway -> agent of the same host
//	Control.Status      operator CLI, gateway -> any agent
//	Control.Explain     operator CLI -> any agent
//	Scheduler.Admit     gateway -> owner agent of the pool; waits in the fair queue
//	Scheduler.Finish    gateway -> owner agent of the pool; also withdraws a waiting ticket
//	Directory.Register  gateway -> owner agent of the request id
//	Directory.Lookup    gateway -> owner agent of the request id
//	Peer.Exchange       agent -> agent; heartbeat, anti-entropy and news
//	Peer.Observed       observing agent -> owner agent of the pool; load and cache events
//	Peer.Self           agent -> agent; the peer's own member record
//	Peer.Decisions      agent -> agent; recent decisions, for Control.Explain
package control

import (
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/platform"
)

// MemberState is the state of a host as seen by its peers.
type MemberState string

// The states of a member.
const (
	MemberAlive    MemberState = "alive"
	MemberSuspect  MemberState = "suspect"
	MemberDraining MemberState = "draining"
	MemberDead     MemberState = "dead"
	MemberLeft     MemberState = "left"
)

// Member is one host of the system. A higher Incarnation, then a higher
// Heartbeat, replaces an older record of the same host.
type Member struct {
	Host        string // unique name of the host, from its settings
	Domain      string // failure domain
	Region      string
	AgentAddr   string // ip:port of the agent's net/rpc
	GatewayAddr string // ip:port of the gateway's HTTP; empty while none is attached
	Incarnation int64  // start time of the agent, Unix nanoseconds
	Heartbeat   int64  // counts up while the agent lives
	State       MemberState
	// DocumentRevision and GatewayRevision are the document revisions in force
	// in the host's agent and gateway.
	DocumentRevision int64
	GatewayRevision  int64
}

// TargetState is what the system knows of one target.
type TargetState struct {
	platform.Target
	Load     engine.LoadReport // zero for plain services
	Observed time.Time         // when the owner last heard from the target
	Healthy  bool
	Owner    string // host that observes the target
	// Version grows when anything but the load changes. A higher one replaces
	// an older row; equal ones are ordered by Observed.
	Version int64
	// ListedLeaving is set while the platform's list itself says leaving.
	ListedLeaving bool
	// Left is set when the target has vanished from the platform's list.
	Left bool
}

// SnapshotArgs asks for the state after a version.
type SnapshotArgs struct {
	Host             string // gateway's host; empty means that of the agent
	GatewayAddr      string
	After            int64         // version already held; 0 for none
	Wait             time.Duration // how long the call may wait for news
	DocumentRevision int64         // revision in force in the gateway
	Draining         bool
}

// SnapshotReply is the whole state that a gateway needs. Document is empty
// while its revision equals the one in SnapshotArgs.
type SnapshotReply struct {
	Version          int64
	Document         []byte // canonical JSON of internal/document.Document
	DocumentRevision int64
	Targets          []TargetState
	Members          []Member
}

// NewsKind names an event that a gateway saw on the data path.
type EventKind string

// The kinds of news.
const (
	EventLeaving  EventKind = "leaving" // the target refused because it is leaving
	EventDown     EventKind = "down"    // connection refused or cut
	EventCrash    EventKind = "crash"   // the target died while it ran Fingerprint
	EventCleared  EventKind = "cleared" // Fingerprint completed and is no suspect any more
	EventSurvived EventKind = "passed"  // Fingerprint ran on past the point at which its target died
)

// News is an event about a target, spread to all hosts.
type Event struct {
	ID          string // unique, for suppression of duplicates
	Kind        EventKind
	Target      string
	Ticket      string   // unique per attempt, for NewsCrash
	Fingerprint uint64   // request body and account, for NewsCrash
	Produced    int      // tokens that the request had made, for NewsCrash
	Beside      []uint64 // fingerprints that ran beside it, for NewsCrash
	Seen        time.Time
}

// NewsArgs carries news.
type EventsArgs struct{ News []Event }

// Empty is an empty reply.
type Empty struct{}

// AdmitArgs asks the owner of a pool for a place on a target.
type AdmitArgs struct {
	Ticket       string // unique per attempt; Finish names it
	Host         string // gateway's host
	Region       string // gateway's region; empty means that of Host's member record
	RequestID    string // caller's request id, for Control.Explain
	Incarnation  int64  // start time of the gateway, Unix nanoseconds; 0 if not told
	Account      string
	Model        string
	Version      string
	Adapter      string
	Class        string // document class: "interactive", "bulk", "late"
	Priority     int    // 0 to 9
	Weight       float64
	PromptTokens int
	Produced     int // output tokens that exist already (continuation)
	MaxTokens    int
	PrefixHashes []uint64 // chained block hashes of the prompt, longest last
	Deadline     time.Time
	Fingerprint  uint64
	Avoid        []string // targets that the caller has tried
	// TraceParent is the W3C trace context of the request; empty for none.
	TraceParent string
	// News is what the gateway saw of the targets that it tried for this request.
	// The owner takes it before it decides, since news on its own may come later.
	News []Event
}

// AdmitReply names the target or the refusal.
type AdmitReply struct {
	Target  platform.Target
	Granted bool
	// The rest is set when not granted.
	Kind       string        // problem.Kind
	Detail     string        // one sentence
	RetryAfter time.Duration // from the measured drain rate
	// Reason explains the choice, for "hitchctl explain".
	Reason string
}

// FinishArgs returns the places of ended generations.
type FinishArgs struct{ Finished []Finished }

// Finished tells how a granted ticket ended.
type Finished struct {
	Ticket   string
	Target   string
	Account  string
	Model    string
	Class    string
	Produced int  // output tokens in all
	Complete bool // false if the generation was cut or canceled, so that its length is censored
}

// DirectoryEntry tells where the generation of a request id runs.
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

// DirectoryKey names an entry.
type DirectoryKey struct {
	Account   string
	RequestID string
}

// RegisterReply returns the entry that is there after the call: the caller's
// own, or the one that another gateway registered before.
type RegisterReply struct {
	Entry DirectoryEntry
	Won   bool
}

// LookupReply returns the entry if found.
type LookupReply struct {
	Entry DirectoryEntry
	Found bool
}

// Digest is the sum of a table that all agents hold. Equal digests mean equal
// tables. Buckets splits the table by key hash; it is set when the sums were
// found to differ, so that only the rows of differing buckets are sent.
type Digest struct {
	Sum     uint64
	Buckets []uint64
}

// ExchangeArgs is a heartbeat with anti-entropy between two agents.
type ExchangeArgs struct {
	Environment      string // agents of different environments refuse each other
	From             Member
	Members          []Member // changed since the last exchange with this peer
	DocumentRevision int64
	Targets          []TargetState // owned targets, changed since the last exchange
	News             []Event
	DocumentHash     uint64 // hash of the document of DocumentRevision
	MemberDigest     Digest
	TargetDigest     Digest
}

// ExchangeReply answers with what the caller lacks.
type ExchangeReply struct {
	From             Member
	Members          []Member
	Document         []byte // set when the callee holds a higher revision
	DocumentRevision int64
	Targets          []TargetState
	News             []Event
	DocumentHash     uint64 // hash of the document of DocumentRevision
	MemberDigest     Digest
	TargetDigest     Digest
}

// CacheDelta carries cache events of one target. Lost marks a gap, after which
// nothing is known of the target's cache.
type CacheDelta struct {
	Target string
	Stored []uint64
	Evict  []uint64
	Lost   bool
}

// ObservedArgs carries fresh load reports and cache events to the owner of the
// pools that the targets belong to.
type ObservedArgs struct {
	Targets []TargetState
	Cache   []CacheDelta
}

// DecisionsReply lists the decisions of one agent about a request, oldest first.
type DecisionsReply struct{ Lines []string }

// StatusReply is the state of the fleet as one agent sees it.
type StatusReply struct {
	Members          []Member
	Targets          []TargetState
	DocumentRevision int64
	Environment      string
	StoreReachable   bool
}

// ExplainArgs asks why a request went where it did.
type ExplainArgs struct {
	Account   string // client account that sent the request
	RequestID string // the caller's Idempotency-Key, or the generated one
}

// ExplainReply answers with what the agents still remember of the request.
type ExplainReply struct {
	Found bool
	Lines []string // one decision a line, oldest first
}

// Package record holds what the callers, targets and operator of a drill have seen on their
// sockets. A judge decides by it alone whether a rule was broken; logs of hosts are evidence
// for people and no input.
package record

import "time"

// Run is the record of one drill.
type Run struct {
	Seed       uint64
	Deployment Deployment
	Requests   []Request   // in the order of Sent
	Arrivals   []Arrival   // in the order of At
	HostEvents []HostEvent // in the order of At
	Versions   []Version   // in the order of Sent
	Targets    []Target
	Outages    []Span // of the store
	Cuts       []Cut  // of hosts from all targets
	Brittle    []Brittle
	Evacuated  []Evacuation // in the order of From
	Began      time.Time
	Ended      time.Time
}

// Deployment is the part of the deployment's description that rules refer to.
type Deployment struct {
	Name   string
	Bounds Bounds
	Routes map[string]Route // by name
}

// Bounds are the figures of the rules.
type Bounds struct {
	Contact         time.Duration // undisturbed time after which a host is in touch
	Grace           time.Duration // from SIGTERM to SIGKILL
	Lost            time.Duration // after its last byte in which a request that was read and not forwarded may be cut
	Apply           time.Duration // from the acknowledgement of a configuration until it is in force
	Drain           time.Duration // from a leaving notice until a target gets nothing new
	Evacuate        time.Duration // from the acknowledgement of an evacuation until the domain gets nothing new
	RetryRatio      float64       // of the requests for a service
	RetrySlack      int           // retries of a window beyond that
	RetryWindow     time.Duration
	MaxCrashRetries int // of a request that crashes targets, or of one with such a part
}

// Route is a kind of request.
type Route struct {
	Name        string
	Service     string // of the first configuration
	Kind        Kind
	MaxAttempts int
	Timeout     time.Duration
	Resumable   bool
}

// Kind tells how often a request may run.
type Kind string

// The kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Streaming     Kind = "streaming"
)

// Request is one attempt of a caller, with a request id of its own.
type Request struct {
	ID          string
	Call        string // the same for all attempts of one call
	Route       string
	Host        string
	Domain      string        // of the caller
	Connection  int           // number of the caller's connection
	Earlier     int           // requests on that connection before this one
	Deadline    time.Duration // that the caller states
	Fingerprint string        // equal for requests that a target can't tell apart
	Part        string        // of the prompt, that crashes engines; empty for sound requests
	Crashes     bool          // it crashes the targets that run it, by a part of its prompt or by itself

	Opened    time.Time // when the connection was opened
	Sent      time.Time // first byte
	SentWhole time.Time // last byte; zero if the connection ended before
	HeadAt    time.Time // head of the response; zero without one
	LastByte  time.Time // last byte of the response that arrived; zero without one
	Ended     time.Time

	Status     int  // 0 without a response
	Signed     bool // by a target
	Complete   bool // the response is whole
	Events     int  // of a stream that arrived
	Expected   int  // events of the whole stream
	RetryAfter time.Duration
	GaveUp     bool // the caller closed the connection or reached its deadline
	Error      string
}

// Arrival is a request that reached a target.
type Arrival struct {
	Request   string // id
	Target    string // incarnation that received it
	Service   string // of the target
	Host      string // that sent it, empty if unknown
	At        time.Time
	Ended     time.Time     // end of the target's work, zero if it did not begin
	Deadline  time.Duration // that the host states, negative if it states none
	Ran       bool          // the target began to run it
	Outcome   Outcome
	Continues bool          // goes on from memory
	Memory    string        // id of the request whose memory that is; empty if it does not, or was rejected
	After     int           // event after which a stream goes on
	Events    int           // that the target sent
	Limited   bool          // the target names a limit in its answer
	Leaving   bool          // the target states in its answer that it leaves
	Pause     time.Duration // that the target asked for when it rejected the request, 0 for none

	Work       Span      // of an engine, from its first step for the request until it ended; zero without one
	FirstEvent time.Time // when an engine had sent its first event; zero if it sent none
}

// Outcome is how a target ended its work on a request.
type Outcome string

// Outcomes of arrivals.
const (
	Answered Outcome = "answered"  // with success, whole
	Failed   Outcome = "failed"    // with an answer that reports a failure
	Rejected Outcome = "rejected"  // not run, as the answer states
	Stopped  Outcome = "stopped"   // run ended by a final copy
	Crashed  Outcome = "crashed"   // the target ended
	BrokeOff Outcome = "broke_off" // the target closed the connection
	Canceled Outcome = "canceled"  // the host closed the connection
)

// HostEvent is something that the platform or a disturbance did to a process of a host.
type HostEvent struct {
	Host  string
	At    time.Time
	Event Event
}

// Event is what happened to a process.
type Event string

// Events of processes.
const (
	Started Event = "started"
	Ready   Event = "ready"   // first time that it reported ready
	Term    Event = "sigterm" // planned
	Hup     Event = "sighup"  // planned
	Killed  Event = "killed"  // unplanned, or at the end of the grace period
	Exited  Event = "exited"  // by itself or after a signal
	// Unasked follows Exited if nobody has ended the process.
	Unasked Event = "unasked_exit"
	Frozen  Event = "frozen"
	Thawed  Event = "thawed"
)

// Planned reports whether an event is part of planned work.
func (e Event) Planned() bool { return e == Term || e == Hup || e == Ready }

// Version is a configuration that the operator wrote.
type Version struct {
	Number      int
	Sent, Acked time.Time
	Services    map[string]string // by route; routes that it lacks are not served
}

// Target is one incarnation of a target.
type Target struct {
	ID, Service, Domain string
	Started             time.Time
	Leaving             time.Time // when the store acknowledged its leaving notice; zero without one
	Ended               time.Time // zero if it was alive at the end
	Crashed             bool      // it ended without notice
	Fell                bool      // it was brittle and had rejected too many requests
	Silences            []Span
	Limits              []Limit
}

// Limit is a time in which a target names a limit of requests a second in its answers.
type Limit struct {
	Span
	PerSecond float64
}

// Brittle is a time in which the targets of a service were brittle.
type Brittle struct {
	Span
	Service string
	Targets int // when it began
}

// Cut is a time in which hosts reached no target.
type Cut struct {
	Span
	Hosts []string
}

// Evacuation is a time in which a failure domain was evacuated: from the store's acknowledgement
// until the operator took it back.
type Evacuation struct {
	Span
	Domain string
}

// Span is a time from which to which something lasted.
type Span struct{ From, To time.Time }

// Package scheduling decides which engine runs each request and when, and which
// requests are rejected. A Pool holds the state of one scheduling pool: the
// engines that serve one model in one region, or one cell of at most
// MaxCellTargets of them.
//
// The package is deterministic: it does no I/O, reads no clock and starts no
// goroutine. The agent and the simulation in virtual time therefore run the same
// code. A Pool is not safe for concurrent use.
package scheduling

import "time"

// Target is the state of one engine as last known to the pool. A target that is
// leaving, unhealthy or on standby gets no requests.
type Target struct {
	Name        string
	Domain      string
	TotalBlocks int
	BlockTokens int
	// The fields below come from the last load report, so they are out of date by
	// the reporting delay.
	ReportedAt  time.Time
	UsedBlocks  int
	Running     int
	Waiting     int
	StepMS      float64
	Preemptions int64
	Leaving     bool
	Healthy     bool
	Standby     bool
	Limit       RequestLimit
}

// CacheUpdate is a change of a target's prefix cache, as block hashes. Lost
// reports that events were missed, so that the known contents may be wrong.
type CacheUpdate struct {
	Target  string
	Stored  []uint64
	Evicted []uint64
	Lost    bool
}

// Request asks for a placement on a target. Ticket identifies it within the
// pool. Produced is the number of output tokens that earlier attempts have
// produced already, PrefixHashes are ordered from the shortest prefix to the
// longest, and a zero Fingerprint means that crashes are not attributed to it.
type Request struct {
	Ticket          string
	Account         string
	Model           string
	Version         string
	Adapter         string
	Class           string
	Priority        int     // 0 to 9
	Weight          float64 // of the account in fair queueing; 0 means 1
	LateDelivery    bool    // the answer may be delivered after the caller left
	PromptTokens    int
	Produced        int
	MaxTokens       int
	PrefixHashes    []uint64
	Submitted       time.Time
	Deadline        time.Time // a later grant is useless; zero means no deadline
	Fingerprint     uint64
	ExcludedTargets []string
}

// Grant places a request on a target. Reason explains the choice to operators in
// one line.
type Grant struct {
	Ticket string
	Target string
	Reason string
}

// Rejection is the final answer for a request that was not run.
type Rejection struct {
	Ticket     string
	Kind       string // a problem.Kind
	Detail     string
	RetryAfter time.Duration
}

// Finished reports how a granted request ended. Complete is false if the
// generation was interrupted or canceled, so that its full length is unknown.
type Finished struct {
	Ticket   string
	Produced int
	Complete bool
}

// Decisions is the result of a call to Decide, each list in decision order.
type Decisions struct {
	Grants     []Grant
	Rejections []Rejection
}

// Policy is a scheduling algorithm together with its state. Pool is the one used
// in production. LeastInFlight and package baseline have those that the experiment
// compares it with.
type Policy interface {
	// SetTargets replaces the list of targets and their last reported state.
	SetTargets(now time.Time, targets []Target)
	// ObserveCache applies a change of a target's prefix cache.
	ObserveCache(now time.Time, update CacheUpdate)
	// Submit queues a request. A later Decide returns its grant or rejection.
	Submit(now time.Time, request Request)
	// Cancel removes a queued request. Use Finish for a granted one.
	Cancel(now time.Time, ticket string)
	// Finish frees the capacity that a granted request occupied.
	Finish(now time.Time, finished Finished)
	// Crashed reports that a target crashed while it ran the requests that were
	// granted to it.
	Crashed(now time.Time, target string)
	// Decide returns the decisions that can be made now.
	Decide(now time.Time) Decisions
	// NextDecision returns when Decide should be called again even if no other
	// method is called before, or the zero time if that is not needed.
	NextDecision(now time.Time) time.Time
}

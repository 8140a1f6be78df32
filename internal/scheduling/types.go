// Package scheduling decides which request goes to which engine, when, and
// which is refused. It holds the state of one pool: the engines that serve one
// model in one region, or a cell of at most MaxCellTargets of them.
//
// Everything here is a function of its inputs: there is no I/O, no clock and no
// goroutine, so that the owner agent and the experiment in virtual time run the
// same code. A Pool is not safe for concurrent use.
package scheduling

import "time"

// Target is what the pool knows of one engine at an instant.
type Target struct {
	Name        string
	Domain      string
	TotalBlocks int
	BlockTokens int
	// The rest comes from the last load report, which lags.
	ReportedAt  time.Time
	UsedBlocks  int
	Running     int
	Waiting     int
	StepMS      float64
	Preemptions int64
	Leaving     bool
	Healthy     bool
	Standby     bool
}

// CacheUpdate is one observed cache event of a target. Lost marks a gap, after
// which nothing is known of the target's cache.
type CacheUpdate struct {
	Target  string
	Stored  []uint64
	Evicted []uint64
	Lost    bool
}

// Request asks for a place. PrefixHashes is shortest first.
type Request struct {
	Ticket          string
	Account         string
	Model           string
	Version         string
	Adapter         string
	Class           string
	Priority        int // 0 to 9
	Weight          float64
	LateDelivery    bool
	PromptTokens    int
	Produced        int
	MaxTokens       int
	PrefixHashes    []uint64
	Submitted       time.Time
	Deadline        time.Time // latest useful grant; zero means none
	Fingerprint     uint64
	ExcludedTargets []string
}

// Grant places a request on a target. Reason explains the choice in one line.
type Grant struct {
	Ticket string
	Target string
	Reason string
}

// Refusal is the final answer for a request that was not run.
type Rejection struct {
	Ticket     string
	Kind       string // a problem.Kind
	Detail     string
	RetryAfter time.Duration
}

// Finished tells how a granted request ended. Complete is false when the length
// is censored, because the generation was cut or canceled.
type Finished struct {
	Ticket   string
	Produced int
	Complete bool
}

// Decisions are the outcome of a call to Decide, in order.
type Decisions struct {
	Grants     []Grant
	Rejections []Rejection
}

// Policy is the state machine of a pool. Implementations are the product's own
// Pool and the baselines that the experiment compares with it.
type Policy interface {
	// SetTargets replaces the known targets with their last reports.
	SetTargets(now time.Time, targets []Target)
	// ObserveCache takes cache events of a target.
	ObserveCache(now time.Time, update CacheUpdate)
	// Submit queues a request; the answer comes from Decide.
	Submit(now time.Time, request Request)
	// Cancel withdraws a queued request. A granted one ends with Finish.
	Cancel(now time.Time, ticket string)
	// Finish returns the place of a granted request.
	Finish(now time.Time, finished Finished)
	// Crashed tells that a target died while it ran the given tickets.
	Crashed(now time.Time, target string)
	// Decide returns all decisions that can be taken now.
	Decide(now time.Time) Decisions
	// NextDecision returns when Decide should run again without other input,
	// or the zero time.
	NextDecision(now time.Time) time.Time
}

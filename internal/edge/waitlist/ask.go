// Package waitlist orders the runs of all hosts that wait for an engine. The host that places
// the runs of all hosts keeps a List. A request that finds no room leaves an entry, which
// expires unless its host asks again, and a request is placed only in room that no entry before
// it could use. A List has no I/O, clock or goroutine. It is a hint: whether a run executes at
// most once never depends on it.
package waitlist

import (
	"time"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
)

// Ask describes a run that waits for an engine at its host. It is part of the messages between
// hosts.
type Ask struct {
	ID          string // of the request
	Urgency     int    // 0 is the most urgent
	Account     string
	Fingerprint string // equal for a request that its caller sends again; "" if unknown
	Tokens      int    // memory that the run is expected to hold at its end
	Output      int    // output tokens that are still expected
	Unread      int    // prompt tokens to prefill before the first event
	Objective   time.Duration
	Age         time.Duration // since the request arrived at its host
	// UsefulFor is the time until the run's latest useful start.
	UsefulFor time.Duration
	TimeLeft  time.Duration // until the caller stops waiting
	// Again states that the run had an engine before, which did not start it or broke off.
	Again bool
}

func (a *Ask) load() inflight.Load {
	return inflight.Load{Runs: 1, Tokens: a.Tokens, Held: a.Tokens - a.Output, Unread: a.Unread}
}

func (a *Ask) requirements() placement.Requirements {
	return placement.Requirements{Tokens: a.Tokens, Output: a.Output, Unread: a.Unread, Objective: a.Objective}
}

// Request asks a List to place a run.
type Request struct {
	Service string
	Ask     Ask
	// Others are runs that wait at the same host behind this one. Their entries are kept alive.
	Others  []Ask
	Need    placement.Requirements
	Tried   map[string]bool // incarnations that must not be chosen
	Engine  *policy.Engine
	Engines []placement.Candidate
}

// Verdict is the answer to a Request. It is part of the messages between hosts.
type Verdict struct {
	// Rejected states that the run can't be served in time.
	Rejected   bool
	RetryAfter time.Duration // if Rejected
	// Class is the run's class within its urgency, for the order of its host's queue.
	Class     Class
	Position  int           // entries before this one
	Entries   int           // of the service
	Predicted time.Duration // wait, from the entries before this one; -1 if unknown
	InputsAge time.Duration // age of the oldest load report that the decision used
}

// Class orders the runs of one urgency.
type Class int

// Classes, the first to be served first.
const (
	// Due runs had an engine before, or their caller comes back when it was told to.
	Due Class = iota
	// Newcomer runs are all others.
	Newcomer
	// Early runs repeat a request whose caller was told to come back later.
	Early
)

// Classes is the number of classes.
const Classes = 3

// String returns the name of the class in logs.
func (c Class) String() string {
	switch c {
	case Due:
		return "due"
	case Early:
		return "early"
	default:
		return "new"
	}
}

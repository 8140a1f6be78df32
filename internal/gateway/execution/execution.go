// Package execution derives from the evidence about a request whether the request ran: no,
// unknown or yes. The gateway states the result in its answers.
package execution

import "corianderhitch/api/problem"

// Evidence is what the gateway knows about one request when it answers it.
type Evidence struct {
	// Dispatched: a first byte may have been handed to the network for some target,
	// or the gateway cannot exclude it.
	Dispatched bool
	// RejectedBeforeRunning: each target to which bytes were sent has answered that it
	// did not run the request.
	RejectedBeforeRunning bool
	// Answered: a target's answer proves that it ran the request.
	Answered bool
	// EarlierMayHaveRun: another attempt, or an earlier request with the same idempotency
	// key, may have run, as far as the gateway knows.
	EarlierMayHaveRun bool
}

// Ran returns what the evidence proves. It returns RanNo only if it is certain that the
// request did not run, and RanUnknown if nothing is proved.
func Ran(e Evidence) problem.Ran {
	switch {
	case e.Answered:
		return problem.RanYes
	case e.EarlierMayHaveRun:
		return problem.RanUnknown
	case e.Dispatched && !e.RejectedBeforeRunning:
		return problem.RanUnknown
	default:
		return problem.RanNo
	}
}

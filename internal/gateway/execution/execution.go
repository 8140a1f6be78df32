// Package execution decides what a caller is told about the execution of its
// request: no, unknown or yes. It is the only place of the gateway that does.
package execution

import "corianderhitch/api/problem"

// Evidence is what the gateway knows about one request at the moment of its
// answer.
type Evidence struct {
	// Dispatched: the first byte may have been handed to the network for some
	// target, or the gateway cannot exclude it.
	Dispatched bool
	// RefusedBeforeRunning: each target that bytes left for has answered that it
	// did not run the request.
	RejectedBeforeRunning bool
	// Answered: a target's answer proves that it ran the request.
	Answered bool
	// EarlierUnknown: an earlier sending with the same idempotency key may have
	// run, as far as the gateway knows.
	EarlierMayHaveRun bool
}

// Ran returns what the evidence allows to say. "no" needs proof.
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

package ledger

import (
	"net/http"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/execution"
)

// Decision is the result of Ledger.Claim. Exactly one field is set: the call may
// be dispatched under Claim, or is answered with Replay, the stored outcome of an
// earlier request with the same key.
type Decision struct {
	Claim  *Claim
	Replay *Outcome
}

const (
	// inProgressFor is the age up to which a claim without an outcome is reported
	// as in progress. It only chooses between two problem kinds, both of which say
	// that it is unknown whether the call ran.
	inProgressFor = 30 * time.Second
	// inProgressRetryAfter is when a caller should ask for the outcome again.
	inProgressRetryAfter = 1 * time.Second
	// storeRetryAfter is when a caller should retry while the store is down.
	storeRetryAfter = 2 * time.Second
)

// decideFromRecord returns the answer to a call that an earlier request has
// claimed: its stored outcome, or an error.
func (l *Ledger) decideFromRecord(call Call, r record) (Decision, error) {
	l.recentCalls.add(call)
	if r.BodyHash != call.BodyHash {
		return Decision{}, problem.New(problem.KindKeyReused, http.StatusConflict, problem.RanNo,
			"use a new Idempotency-Key for a new request",
			"the Idempotency-Key was used before with another method, path or body")
	}
	if r.State == stateDone && r.Outcome != nil {
		return Decision{Replay: r.Outcome}, nil
	}
	ran := execution.Ran(execution.Evidence{EarlierMayHaveRun: true})
	if age := time.Since(r.At); age < inProgressFor {
		return Decision{}, problem.New(problem.KindInProgress, http.StatusConflict, ran,
			"come back after the named time with the same Idempotency-Key for the outcome",
			"an earlier sending of this call is in progress").WithRetryAfter(inProgressRetryAfter)
	}
	return Decision{}, l.outcomeUnknown(call, nil)
}

// outcomeUnknown returns the error for a call that may have run.
func (l *Ledger) outcomeUnknown(_ Call, cause error) *problem.Error {
	return problem.New(problem.KindOutcomeUnknown, http.StatusConflict,
		execution.Ran(execution.Evidence{EarlierMayHaveRun: true}),
		"check at the service whether the call took effect before sending it with a new Idempotency-Key",
		"an earlier sending of this call was claimed and its outcome is not known").WithCause(cause)
}

// storeUnavailable returns the error for a call whose claim the store cannot
// confirm. This request was not dispatched, but an earlier one may have been: it
// reports RanNo only if no gateway knows of an earlier dispatch.
func (l *Ledger) storeUnavailable(call Call, cause error) *problem.Error {
	ran := execution.Ran(execution.Evidence{EarlierMayHaveRun: l.mayHaveRunWithoutStore(call)})
	return problem.New(problem.KindStoreUnavailable, http.StatusServiceUnavailable, ran,
		"come back after the named time with the same Idempotency-Key",
		"the store cannot confirm now that the call runs at most once").WithRetryAfter(storeRetryAfter).WithCause(cause)
}

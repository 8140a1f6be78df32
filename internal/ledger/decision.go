package ledger

import (
	"net/http"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/verdict"
)

// Decision tells what to do with a call: dispatch it under Claim, or answer with
// Replay, the outcome of an earlier sending.
type Decision struct {
	Claim  *Claim
	Replay *Outcome
}

const (
	// inProgressFor is the age up to which a claim without an outcome counts as
	// still running. It only chooses between two kinds that both say "unknown".
	inProgressFor = 30 * time.Second
	// inProgressRetry is when a caller should ask for the outcome again.
	inProgressRetry = 1 * time.Second
	// storeRetry is when a caller should come back while the store is down.
	storeRetry = 2 * time.Second
)

// taken decides from the record of an earlier sending.
func (l *Ledger) taken(call Call, r record) (Decision, error) {
	l.seen.add(call)
	if r.BodyHash != call.BodyHash {
		return Decision{}, problem.New(problem.KindKeyReused, http.StatusConflict, problem.RanNo,
			"use a new Idempotency-Key for a new request",
			"the Idempotency-Key was used before with another method, path or body")
	}
	if r.State == stateDone && r.Outcome != nil {
		return Decision{Replay: r.Outcome}, nil
	}
	ran := verdict.Ran(verdict.Evidence{EarlierUnknown: true})
	if age := time.Since(r.At); age < inProgressFor {
		return Decision{}, problem.New(problem.KindInProgress, http.StatusConflict, ran,
			"come back after the named time with the same Idempotency-Key for the outcome",
			"an earlier sending of this call is in progress").WithRetryAfter(inProgressRetry)
	}
	return Decision{}, l.unknown(call, nil)
}

// unknown is the answer for a call that may have run.
func (l *Ledger) unknown(_ Call, cause error) *problem.Error {
	return problem.New(problem.KindOutcomeUnknown, http.StatusConflict,
		verdict.Ran(verdict.Evidence{EarlierUnknown: true}),
		"check at the service whether the call took effect before sending it with a new Idempotency-Key",
		"an earlier sending of this call was claimed and its outcome is not known").WithCause(cause)
}

// refused is the answer while the store cannot confirm a claim. This sending was
// not dispatched; "no" is said only if no gateway knows of an earlier one.
func (l *Ledger) refused(call Call, cause error) *problem.Error {
	ran := verdict.Ran(verdict.Evidence{EarlierUnknown: l.marked(call)})
	return problem.New(problem.KindStoreUnavailable, http.StatusServiceUnavailable, ran,
		"come back after the named time with the same Idempotency-Key",
		"the store cannot confirm now that the call runs at most once").WithRetryAfter(storeRetry).WithCause(cause)
}

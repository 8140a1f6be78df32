package runner

import (
	"errors"
	"net/http"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/execution"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
)

// invalidRequestProblem returns the engine's rejection if any other engine would reject
// the request as well, else nil.
func (s *session) invalidRequestProblem() *problem.Error {
	var rejected *engineclient.RejectedError
	if s.machine.MayHaveRun() || !errors.As(s.lastErr, &rejected) {
		return nil
	}
	switch rejected.Problem.Kind {
	case problem.KindBadRequest, problem.KindTooLarge:
		return rejected.Problem
	default:
		return nil
	}
}

// failoverProblem returns the error for a failed admission to another engine, with
// what is known about the execution so far. A caller that has tokens learns that the rest
// is lost, unless the request must not be sent again.
func (s *session) failoverProblem(err error) *problem.Error {
	e := *problem.From(err)
	e.Ran = execution.Ran(execution.Evidence{Dispatched: s.machine.MayHaveRun(), Answered: s.delivered > 0})
	if s.delivered > 0 && e.Kind != problem.KindCrashSuspect {
		lost := reasonProblem(stream.ReasonGenerationLost, e.Ran)
		return lost.WithCause(err)
	}
	return &e
}

// drainingProblem returns the error for a generation that this gateway stops serving.
func (s *session) drainingProblem() *problem.Error {
	ran := execution.Ran(execution.Evidence{Dispatched: s.machine.MayHaveRun(), Answered: s.delivered > 0})
	return problem.New(problem.KindDraining, http.StatusServiceUnavailable, ran,
		"come back with the same Idempotency-Key at another gateway", "this gateway stops")
}

// completed releases the slot and returns the result of a complete generation. If
// engines crashed while they ran the request, it reports that the request is cleared of
// suspicion.
func (s *session) completed() Result {
	s.releaseSlot(s.finishReason != engine.FinishCanceled)
	if s.crashes > 0 {
		s.runner.fleet.Report(control.Event{
			ID: ids.New(), Kind: control.EventCleared, Fingerprint: s.job.Admit.Fingerprint, Seen: time.Now(),
		})
	}
	return s.result(nil)
}

func (s *session) failed(err *problem.Error) Result { return s.result(err) }

// result returns the state of the job as its Result.
func (s *session) result(err *problem.Error) Result {
	result := Result{
		Generation:   s.machine.Generation(),
		Tokens:       s.machine.Tokens(),
		FinishReason: s.finishReason,
		Err:          err,
		CallerLeft:   s.callerLeft,
	}
	if s.slot != nil {
		result.Target = s.slot.Target
	}
	return result
}

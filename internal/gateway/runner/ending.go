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

// finalRefusal returns the engine's refusal if another engine would refuse the
// request as well.
func (s *session) finalRefusal() *problem.Error {
	var refused *engineclient.RejectedError
	if s.machine.MayHaveRun() || !errors.As(s.lastErr, &refused) {
		return nil
	}
	switch refused.Problem.Kind {
	case problem.KindBadRequest, problem.KindTooLarge:
		return refused.Problem
	default:
		return nil
	}
}

// afterMove adds what has run already to a refusal of another place.
func (s *session) afterMove(err error) *problem.Error {
	e := *problem.From(err)
	e.Ran = execution.Ran(execution.Evidence{Dispatched: s.machine.MayHaveRun(), Answered: s.sent > 0})
	if s.sent > 0 {
		lost := reasonError(stream.ReasonGenerationLost, e.Ran)
		return lost.WithCause(err)
	}
	return &e
}

func (s *session) interrupted() *problem.Error {
	ran := execution.Ran(execution.Evidence{Dispatched: s.machine.MayHaveRun(), Answered: s.sent > 0})
	return problem.New(problem.KindDraining, http.StatusServiceUnavailable, ran,
		"come back with the same Idempotency-Key at another gateway", "this gateway stops")
}

func (s *session) finished() Result {
	s.endPlace(s.reason != engine.FinishCanceled)
	if s.deaths > 0 {
		s.r.fleet.Report(control.Event{
			ID: ids.New(), Kind: control.EventCleared, Fingerprint: s.job.Admit.Fingerprint, Seen: time.Now(),
		})
	}
	return s.result(nil)
}

func (s *session) failedWith(err *problem.Error) Result { return s.result(err) }

func (s *session) result(err *problem.Error) Result {
	result := Result{
		Generation:   s.machine.Generation(),
		Tokens:       s.machine.Tokens(),
		FinishReason: s.reason,
		Err:          err,
		CallerGone:   s.gone,
	}
	if s.place != nil {
		result.Target = s.place.Target
	}
	return result
}

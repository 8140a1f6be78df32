package runner

import (
	"errors"
	"net/http"

	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/execution"
	"corianderhitch/internal/gateway/stream"
	"corianderhitch/internal/outbound"
)

// classifyError maps an error of the engine client to a failure of the stream.
// attached states that this engine has accepted an attachment before, or may have got
// the request.
func classifyError(err error, attached bool) stream.Failure {
	switch {
	case isEngineDown(err) && attached:
		return stream.FailureCrashed
	case errors.Is(err, engineclient.ErrUnknownGeneration):
		if attached {
			return stream.FailureCrashed
		}
		return stream.FailureRejected
	case errors.Is(err, engineclient.ErrNotSent):
		return stream.FailureNotSent
	case errors.Is(err, engineclient.ErrRejected):
		return stream.FailureRejected
	case errors.Is(err, engineclient.ErrFailed):
		return stream.FailureEngineError
	case errors.Is(err, engineclient.ErrProtocol):
		return stream.FailureProtocol
	default:
		return stream.FailureConnectionLost
	}
}

// isEngineDown reports whether nothing listens at the engine's address.
func isEngineDown(err error) bool {
	return errors.Is(err, engineclient.ErrNotSent) && outbound.IsConnectionRefused(err)
}

// failureProblem returns the error for a stream that failed. delivered states that
// the caller has tokens, mayHaveRun that an engine may have run the request, and last
// is the error of the last attachment.
func failureProblem(reason stream.Reason, delivered bool, mayHaveRun bool, last error) *problem.Error {
	evidence := execution.Evidence{Dispatched: mayHaveRun, Answered: delivered}
	e := reasonProblem(reason, execution.Ran(evidence))
	return e.WithCause(last)
}

// reasonProblem returns the error for a stream that failed for a reason.
func reasonProblem(reason stream.Reason, ran problem.Ran) *problem.Error {
	switch reason {
	case stream.ReasonRepeatedCrashes:
		return problem.New(problem.KindCrashSuspect, http.StatusUnprocessableEntity, ran,
			"don't send this request again; report it to the operator",
			"several engines died while they ran this request")
	case stream.ReasonGenerationLost, stream.ReasonTokenMismatch:
		return problem.New(problem.KindGenerationLost, http.StatusBadGateway, ran,
			"drop the tokens received and send the request with a new Idempotency-Key",
			"the engine of this generation is gone and no other can continue it")
	default:
		return problem.New(problem.KindTargetFailed, http.StatusBadGateway, ran,
			"come back after the named time with the same Idempotency-Key",
			"no engine could run the request within the retry budget").WithRetryAfter(failureRetryAfter)
	}
}

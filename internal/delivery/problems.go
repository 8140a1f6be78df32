package delivery

import (
	"errors"
	"net/http"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/internal/platform"
)

// storeRetryAfter is when a caller should retry while the store is down.
const storeRetryAfter = 2 * time.Second

func overBudget(after time.Duration) *problem.Error {
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanNo,
		"come back after the named time with the same Idempotency-Key",
		"the budget for late drafts is used up").WithRetryAfter(after)
}

// notRecorded returns the error for a late request whose pending record could not be
// written, or whose write was not confirmed.
func notRecorded(err error) *problem.Error {
	if errors.Is(err, platform.ErrTooLarge) {
		return problem.New(problem.KindTooLarge, http.StatusRequestEntityTooLarge, problem.RanNo,
			"send a shorter prompt, or without late delivery", "the draft is too large to be kept")
	}
	ran := problem.RanUnknown
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited) {
		ran = problem.RanNo
	}
	return storeUnavailable(err, ran)
}

func storeUnavailable(err error, ran problem.Ran) *problem.Error {
	return problem.New(problem.KindStoreUnavailable, http.StatusServiceUnavailable, ran,
		"come back after the named time with the same Idempotency-Key",
		"the store that keeps late drafts gives no answer now").WithRetryAfter(storeRetryAfter).WithCause(err)
}

func canceled() *problem.Error {
	return problem.New(problem.KindNotFound, http.StatusGone, problem.RanUnknown,
		"send a new request", "the draft was canceled")
}

func expired() *problem.Error {
	return problem.New(problem.KindDeadline, http.StatusGatewayTimeout, problem.RanUnknown,
		"send the draft again with a new Idempotency-Key", "the draft could not be finished within the retention")
}

package targetconn

import (
	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/targetnotice"
)

// Errors of Do, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("target: not reachable and nothing was sent; try another target")
	// ErrRefused means that the gate refused the send: the target leaves or wants a pause.
	// Such an error also matches ErrNotSent; the target is not at fault.
	ErrRefused = eris.New("target: leaves or wants a pause, and nothing was sent; try another target")
	// ErrOnTrial means that the gate refused the send until the target has answered the first
	// request after its pause. Such an error also matches ErrRefused.
	ErrOnTrial = eris.New("target: on trial after a pause, and nothing was sent; try another target or wait for the trial")
	// ErrBroken means that the request was sent, at least in part, but no complete
	// response arrived: the target may have run it.
	ErrBroken = eris.New("target: connection broke after the request was sent; repeat it only if it is idempotent")
	// ErrCanceled means that the request's context ended before the response's head arrived.
	// Such an error also matches ErrBroken; the target need not be at fault.
	ErrCanceled = eris.New("target: request canceled after it was sent; repeat it only if it is idempotent")
	// ErrInvalidResponse means that the response is not HTTP, belongs to another request or
	// has a head that exceeds its bounds.
	ErrInvalidResponse = eris.New("target: response is not HTTP or belongs to another request; repeat the request only if it is idempotent")
)

// cancellation is the error of a send whose context ended.
type cancellation struct{ cause error }

func (c *cancellation) Error() string { return c.cause.Error() + ": " + ErrBroken.Error() }

func (c *cancellation) Is(target error) bool { return target == ErrCanceled || target == ErrBroken }

// refusal is the error of a send that the gate refused.
type refusal struct{ verdict targetnotice.Verdict }

func (r *refusal) Error() string {
	if r.verdict == targetnotice.OnTrial {
		return ErrOnTrial.Error()
	}
	return ErrRefused.Error() + ": " + r.verdict.String()
}

func (r *refusal) Is(target error) bool {
	return target == ErrRefused || target == ErrNotSent || target == ErrOnTrial && r.verdict == targetnotice.OnTrial
}

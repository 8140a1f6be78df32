package targetconn

import (
	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/targetnotice"
)

// Errors of Do, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("target: not reachable and nothing was sent; try another target")
	// ErrRefused means that the gate refused the send: the target leaves, wants a pause, names a limit
	// or is in an evacuated failure domain. Such an error also matches ErrNotSent; the target is not at fault.
	ErrRefused = eris.New("target: leaves, wants a pause or names a limit, and nothing was sent; try another target")
	// ErrNotYet means that the gate refused the send for now: the target has not answered the
	// first request after its pause yet, this host's share of its limit or of what it bears while it
	// is cold is used up, or it is brittle and may have no room. Such an error also matches ErrRefused.
	ErrNotYet = eris.New("target: accepts no request yet, and nothing was sent; try another target or wait")
	// ErrOutlastsHelper means that this host does not reach the target, and that the request may take
	// longer than a helper that is stopped. Such an error also matches ErrNotSent.
	ErrOutlastsHelper = eris.New("target: not reachable, and the request may take longer than another host can send it; nothing was sent; wait or try another target")
	// ErrEvacuated means that the gate refused the send because the operator has evacuated the failure
	// domain of the target or of a copy's destination. Such an error also matches ErrRefused.
	ErrEvacuated = eris.New("target: in an evacuated failure domain, and nothing was sent; try another target")
	// ErrBroken means that the request was sent, at least in part, but no complete
	// response arrived: the target may have run it.
	ErrBroken = eris.New("target: connection broke after the request was sent; repeat it only if it is idempotent")
	// ErrResetAtOnce means that a new connection was reset as soon as it was open, so that the
	// target may not even have read the request: the way to it may be at fault. Such an error also
	// matches ErrBroken.
	ErrResetAtOnce = eris.New("target: new connection was reset at once after the request was sent; repeat it only if it is idempotent")
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

// outlastsHelper is the error of a send that no helper was asked to make.
type outlastsHelper struct{ cause error }

func (o *outlastsHelper) Error() string { return o.cause.Error() + ": " + ErrOutlastsHelper.Error() }

func (o *outlastsHelper) Is(target error) bool {
	return target == ErrOutlastsHelper || target == ErrNotSent
}

// earlyReset is the error of a send on a new connection that was reset at once.
type earlyReset struct{ cause error }

func (e *earlyReset) Error() string { return e.cause.Error() + ": " + ErrResetAtOnce.Error() }

func (e *earlyReset) Is(target error) bool { return target == ErrResetAtOnce || target == ErrBroken }

// refusal is the error of a send that the gate refused.
type refusal struct{ verdict targetnotice.Verdict }

func (r *refusal) Error() string {
	if r.isTemporary() {
		return ErrNotYet.Error() + ": " + r.verdict.String()
	}
	return ErrRefused.Error() + ": " + r.verdict.String()
}

func (r *refusal) Is(target error) bool {
	return target == ErrRefused || target == ErrNotSent || target == ErrNotYet && r.isTemporary() ||
		target == ErrEvacuated && r.verdict == targetnotice.Evacuated
}

func (r *refusal) isTemporary() bool {
	switch r.verdict {
	case targetnotice.OnTrial, targetnotice.Limited, targetnotice.NoRoom, targetnotice.Cold:
		return true
	}
	return false
}

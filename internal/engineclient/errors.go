package engineclient

import (
	"errors"

	"github.com/rotisserie/eris"

	"corianderhitch/api/problem"
	"corianderhitch/internal/outbound"
)

// Sentinel errors of a Client. Test with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("engine: not reachable and nothing was sent; try another target")
	// ErrRejected means that the engine rejected the request before running it. The error
	// is a *RejectedError.
	ErrRejected = eris.New("engine: request was rejected before it ran; try another target or retry later")
	// ErrBroken means that the connection broke after bytes of the request were sent.
	ErrBroken = eris.New("engine: connection broke after bytes were sent; attach again at the offset")
	// ErrUnknownGeneration means that the engine does not know the generation.
	ErrUnknownGeneration = eris.New("engine: unknown generation; it ended long ago or the engine restarted")
	// ErrFailed means that the engine ended the generation with an error. The
	// error is a *FailedError.
	ErrFailed = eris.New("engine: generation failed")
	// ErrProtocol means that the answer violates the protocol of api/engine.
	ErrProtocol = eris.New("engine: answer violates the protocol; check the engine's version")
)

// RejectedError carries the problem with which an engine rejected a request that it did
// not run.
type RejectedError struct{ Problem *problem.Error }

// Error implements error.
func (e *RejectedError) Error() string {
	return "engine: request was rejected before it ran: " + e.Problem.Error()
}

// Is matches ErrRejected.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// FailedError carries the problem that ended a generation, or the problem of a request
// that the engine may have run.
type FailedError struct{ Problem *problem.Error }

// Error implements error.
func (e *FailedError) Error() string { return "engine: generation failed: " + e.Problem.Error() }

// Is matches ErrFailed.
func (e *FailedError) Is(target error) bool { return target == ErrFailed }

// SendError is the failure of a request to an engine that got no answer. It matches
// ErrNotSent or ErrBroken and unwraps to the cause.
type SendError struct{ Cause error }

// Error implements error.
func (e *SendError) Error() string { return "engine: " + e.Cause.Error() }

// Is matches ErrNotSent or ErrBroken.
func (e *SendError) Is(target error) bool {
	if errors.Is(e.Cause, outbound.ErrNotSent) {
		return target == ErrNotSent
	}
	return target == ErrBroken
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

package engineclient

import (
	"errors"

	"github.com/rotisserie/eris"

	"corianderhitch/api/problem"
	"corianderhitch/internal/outbound"
)

// Sentinel errors of a Client. Test with errors.Is.
var (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = eris.New("engine: not reachable and nothing was sent; try another target")
	// ErrRefused means that the engine refused before running. The error is a *RefusedError.
	ErrRejected = eris.New("engine: refused before running; try another target or come back later")
	// ErrBroken means that the stream or the request broke after bytes left.
	ErrBroken = eris.New("engine: connection broke after bytes left; attach again at the offset")
	// ErrUnknownGeneration means that the engine does not know the generation.
	ErrUnknownGeneration = eris.New("engine: generation is unknown there; it ended long ago or the engine restarted")
	// ErrFailed means that the engine ended the generation with an error. The
	// error is a *FailedError.
	ErrFailed = eris.New("engine: generation failed")
	// ErrProtocol means that the answer is not what api/engine states.
	ErrProtocol = eris.New("engine: answer breaks the protocol; check the engine's version")
)

// RefusedError carries the problem of an engine that did not run the request.
type RejectedError struct{ Problem *problem.Error }

// Error implements error.
func (e *RejectedError) Error() string { return "engine: refused before running: " + e.Problem.Error() }

// Is matches ErrRefused.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// FailedError carries the problem that ended a generation.
type FailedError struct{ Problem *problem.Error }

// Error implements error.
func (e *FailedError) Error() string { return "engine: generation failed: " + e.Problem.Error() }

// Is matches ErrFailed.
func (e *FailedError) Is(target error) bool { return target == ErrFailed }

// SendError is a request to an engine without an answer. It matches ErrNotSent
// or ErrBroken and unwraps to the cause.
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

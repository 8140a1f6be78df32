package cli

import (
	"errors"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/settings"
)

// Exit codes of hitchctl. docs/OPERATIONS.md explains them.
const (
	ExitOK          = 0
	ExitError       = 1 // any other failure
	ExitUsage       = 2 // wrong arguments or settings
	ExitInvalid     = 3 // the document is invalid
	ExitConflict    = 4 // another change was accepted first
	ExitUnreachable = 5 // the store or the agents cannot be reached, or their answer was lost
)

// usageError is a wrong argument.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// commandError is an error of a command that started; others come from the
// command line's own checks.
type commandError struct{ cause error }

// Error implements error.
func (e *commandError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.cause }

// failure classifies an error: its exit code and its stable kind in JSON output.
func failure(err error) (code int, kind string) {
	var command *commandError
	var usage *usageError
	var bad *settings.Error
	var invalid *document.ValidationError
	var conflict *docstore.ConflictError
	var unknown *docstore.OutcomeUnknownError
	var missing *docstore.RevisionNotFoundError
	switch {
	case errors.As(err, &bad), errors.As(err, &usage), !errors.As(err, &command):
		return ExitUsage, "usage"
	case errors.As(err, &invalid):
		return ExitInvalid, "invalid-document"
	case errors.As(err, &conflict), errors.Is(err, platform.ErrConflict):
		return ExitConflict, "revision-conflict"
	case errors.As(err, &unknown):
		return ExitUnreachable, "outcome-unknown"
	case errors.As(err, &missing), errors.Is(err, platform.ErrNotFound):
		return ExitError, "not-found"
	case errors.Is(err, errWaitTimeout):
		return ExitUnreachable, "not-in-force"
	case unreachable(err):
		return ExitUnreachable, "unreachable"
	}
	return ExitError, "internal"
}

func unreachable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrOutcomeUnknown) ||
		errors.Is(err, rpcconn.ErrNotSent) ||
		errors.Is(err, rpcconn.ErrBroken)
}

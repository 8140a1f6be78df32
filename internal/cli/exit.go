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

// usageError is an error in arguments or settings.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// commandError wraps an error returned by a command's function. Errors that are not
// wrapped in it come from parsing the command line.
type commandError struct{ cause error }

// Error implements error.
func (e *commandError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.cause }

// classifyError returns the exit code of an error and its kind in JSON output.
func classifyError(err error) (code int, kind string) {
	var command *commandError
	var usage *usageError
	var settingsErr *settings.Error
	var invalidDocument *document.ValidationError
	var conflict *docstore.ConflictError
	var unknown *docstore.OutcomeUnknownError
	var missing *docstore.RevisionNotFoundError
	switch {
	case errors.As(err, &settingsErr), errors.As(err, &usage), !errors.As(err, &command):
		return ExitUsage, "usage"
	case errors.As(err, &invalidDocument):
		return ExitInvalid, "invalid-document"
	case errors.As(err, &conflict), errors.Is(err, platform.ErrConflict):
		return ExitConflict, "revision-conflict"
	case errors.As(err, &unknown):
		return ExitUnreachable, "outcome-unknown"
	case errors.As(err, &missing), errors.Is(err, platform.ErrNotFound):
		return ExitError, "not-found"
	case errors.Is(err, errWaitTimeout):
		return ExitUnreachable, "not-in-force"
	case isUnreachable(err):
		return ExitUnreachable, "unreachable"
	}
	return ExitError, "internal"
}

// isUnreachable reports whether the store or the agents could not be reached, or
// their answer was lost.
func isUnreachable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrOutcomeUnknown) ||
		errors.Is(err, rpcconn.ErrNotSent) ||
		errors.Is(err, rpcconn.ErrBroken)
}

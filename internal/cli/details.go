package cli

import (
	"errors"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
	"corianderhitch/internal/settings"
)

// errorDetails returns the machine-readable part of an error, or nil.
func errorDetails(err error) any {
	var settingsErr *settings.Error
	var invalid *document.ValidationError
	var conflict *docstore.ConflictError
	var unknown *docstore.OutcomeUnknownError
	var missing *docstore.RevisionNotFoundError
	switch {
	case errors.As(err, &settingsErr):
		return settingsErr.Problems
	case errors.As(err, &invalid):
		return invalid.Problems
	case errors.As(err, &conflict):
		return conflict
	case errors.As(err, &unknown):
		return unknown
	case errors.As(err, &missing):
		return missing
	}
	return nil
}

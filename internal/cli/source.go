package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// readDocument reads and validates a document from a file, or from standard input
// for "-". If --environment is set, the document must be for that environment.
func (a *app) readDocument(file string) (document.Document, error) {
	source, err := readFile(file)
	if err != nil {
		return document.Document{}, err
	}
	d, err := document.Parse(source)
	if err != nil {
		return document.Document{}, err
	}
	if want := a.settings.Environment; want != "" && want != d.Environment {
		return document.Document{}, &usageError{fmt.Sprintf(
			"%s is for environment %q, but --environment is %q; correct one of them", file, d.Environment, want)}
	}
	return d, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		source, err := io.ReadAll(io.LimitReader(os.Stdin, document.MaxSourceBytes+1))
		return source, eris.Wrap(err, "cannot read standard input")
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("cannot read the document: %v; name an existing file or - for standard input", err)}
	}
	return source, nil
}

// requireEnvironment returns --environment, or a usage error if it is not set.
func (a *app) requireEnvironment() (string, error) {
	if a.settings.Environment == "" {
		return "", &usageError{"no environment is named; set --environment or HITCH_ENVIRONMENT"}
	}
	return a.settings.Environment, nil
}

// currentOrEmpty returns the document in force, or an empty document with revision 0
// if none was accepted yet.
func (a *app) currentOrEmpty(ctx context.Context, environment string) (document.Accepted, error) {
	accepted, _, err := a.docs.Current(ctx, environment)
	if errors.Is(err, platform.ErrNotFound) {
		return document.Accepted{Document: document.Document{Environment: environment}}, nil
	}
	return accepted, err
}

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

// readDocument reads and checks a document from a file, or from standard input
// for "-". If --environment is set, the document must be for it.
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

// environment returns --environment, which commands without a file need.
func (a *app) environment() (string, error) {
	if a.settings.Environment == "" {
		return "", &usageError{"no environment is named; set --environment or HITCH_ENVIRONMENT"}
	}
	return a.settings.Environment, nil
}

// currentOrNone returns the document in force, or revision 0 with an empty
// document if none was accepted yet.
func (a *app) currentOrNone(ctx context.Context, environment string) (document.Accepted, error) {
	accepted, _, err := a.docs.Current(ctx, environment)
	if errors.Is(err, platform.ErrNotFound) {
		return document.Accepted{Document: document.Document{Environment: environment}}, nil
	}
	return accepted, err
}

package docstore

import (
	"context"
	"crypto/rand"
	"fmt"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// ApplyRequest asks to put a document in force.
type ApplyRequest struct {
	Environment string
	Base        int64 // document revision that the operator read; 0 if there was none
	Document    document.Document
	Operator    string
	Comment     string
	Origin      string // empty means "apply"
	// Above makes the new revision higher than this one too. It is needed only
	// after the store has lost revisions that hosts still hold.
	Above int64
}

// Apply puts a document in force as revision Base+1, or Above+1 if that is
// higher, if Base is still in force.
// It returns a *document.ValidationError, a *ConflictError, an *UnknownError or
// an error of the store that says that nothing was changed. A document equal to
// the one in force is not written again; its revision is returned.
func (s *Store) Apply(ctx context.Context, req ApplyRequest) (document.Accepted, error) {
	return s.apply(ctx, req, false)
}

func (s *Store) apply(ctx context.Context, req ApplyRequest, always bool) (document.Accepted, error) {
	d := document.Normalize(req.Document)
	if err := checkRequest(req.Environment, d); err != nil {
		return document.Accepted{}, err
	}
	old, at, err := s.current(ctx, req.Environment)
	if err != nil {
		return document.Accepted{}, wrapUntouched(err)
	}
	if old.Revision != req.Base {
		return document.Accepted{}, conflict(req.Environment, req.Base, old)
	}
	body, err := document.Encode(d)
	if err != nil {
		return document.Accepted{}, err
	}
	ref, chunks, err := pack(body, s.chunkBytes)
	if err != nil {
		return document.Accepted{}, err
	}
	if !always && old.Body.Digest == ref.Digest && old.Revision > req.Above {
		return s.accepted(ctx, old)
	}
	next := s.successor(old, req, ref)
	// In this order: Prune must see who needs a chunk that it finds.
	if err := s.writeHistory(ctx, req.Environment, next); err != nil {
		return document.Accepted{}, err
	}
	if err := s.writeBody(ctx, ref, chunks); err != nil {
		return document.Accepted{}, err
	}
	if err := s.swap(ctx, req.Environment, next, body, at); err != nil {
		return document.Accepted{}, err
	}
	next.Document = body
	return s.accepted(ctx, next)
}

func checkRequest(environment string, d document.Document) error {
	if err := document.Validate(d); err != nil {
		return err
	}
	if d.Environment == environment {
		return nil
	}
	return &document.ValidationError{Problems: []document.Problem{{
		Path:    "environment",
		Message: fmt.Sprintf("is %q, but the change is for %q", d.Environment, environment),
		Remedy:  "correct the document or --environment; use \"hitchctl promote\" to carry a document to another environment",
	}}}
}

// successor returns the record that replaces old.
func (s *Store) successor(old record, req ApplyRequest, ref bodyRef) record {
	origin := req.Origin
	if origin == "" {
		origin = "apply"
	}
	return record{
		Revision:   max(old.Revision, req.Above) + 1,
		Operator:   req.Operator,
		Comment:    req.Comment,
		AcceptedAt: s.now().UTC(),
		Origin:     origin,
		Attempt:    rand.Text(),
		Previous:   old.link(),
		Body:       ref,
	}
}

func conflict(environment string, base int64, current record) error {
	return &ConflictError{
		Environment: environment,
		Base:        base,
		Current:     current.Revision,
		Operator:    current.Operator,
		AcceptedAt:  current.AcceptedAt,
		Comment:     current.Comment,
	}
}

func (s *Store) writeHistory(ctx context.Context, environment string, r record) error {
	value, err := encodeHistory(r)
	if err != nil {
		return err
	}
	if err := s.write(ctx, document.HistoryAttemptKey(environment, r.Revision, r.Attempt), value); err != nil {
		return wrapUntouched(err)
	}
	return nil
}

// swap replaces the current record if its store revision is still at.
func (s *Store) swap(ctx context.Context, environment string, next record, body []byte, at platform.Revision) error {
	value, err := encodeCurrent(next, body, s.inlineBytes)
	if err != nil {
		return err
	}
	w := swapper{store: s, environment: environment, next: next, value: value, at: at}
	return w.run(ctx)
}

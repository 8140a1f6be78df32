package docstore

import (
	"context"
	"crypto/rand"
	"fmt"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// ApplyRequest holds the arguments of Apply.
type ApplyRequest struct {
	Environment string
	Base        int64 // document revision that the operator read; 0 if there was none
	Document    document.Document
	Operator    string
	Comment     string
	Origin      string // empty means "apply"
	// Above is another revision that the new one must exceed. It is needed only after
	// the store has lost revisions that hosts still hold; hosts ignore lower ones.
	Above int64
}

// Apply puts a document in force as revision Base+1, or Above+1 if that is
// higher, if Base is still in force. A document equal to the one in force is not
// written again; the revision in force is returned.
// The error is a *document.ValidationError, a *ConflictError, an
// *OutcomeUnknownError, or an error of the store, after which nothing was changed.
func (s *Store) Apply(ctx context.Context, req ApplyRequest) (document.Accepted, error) {
	return s.apply(ctx, req, false)
}

// apply implements Apply. writeEqual writes a new revision also for a document equal
// to the one in force.
func (s *Store) apply(ctx context.Context, req ApplyRequest, writeEqual bool) (document.Accepted, error) {
	d := document.Normalize(req.Document)
	if err := checkRequest(req.Environment, d); err != nil {
		return document.Accepted{}, err
	}
	old, storeRevision, err := s.currentRecord(ctx, req.Environment)
	if err != nil {
		return document.Accepted{}, wrapUnchanged(err)
	}
	if old.Revision != req.Base {
		return document.Accepted{}, newConflictError(req.Environment, req.Base, old)
	}
	body, err := document.Encode(d)
	if err != nil {
		return document.Accepted{}, err
	}
	ref, chunks, err := pack(body, s.chunkBytes)
	if err != nil {
		return document.Accepted{}, err
	}
	if !writeEqual && old.Body.Digest == ref.Digest && old.Revision > req.Above {
		return s.loadAccepted(ctx, old)
	}
	next := s.nextRecord(old, req, ref)
	// The history entry precedes the chunks, so that Prune finds a reference to each
	// chunk that it lists.
	if err := s.writeHistory(ctx, req.Environment, next); err != nil {
		return document.Accepted{}, err
	}
	if err := s.writeBody(ctx, ref, chunks); err != nil {
		return document.Accepted{}, err
	}
	if err := s.swap(ctx, req.Environment, next, body, storeRevision); err != nil {
		return document.Accepted{}, err
	}
	next.Document = body
	return s.loadAccepted(ctx, next)
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

// nextRecord returns the record that replaces old.
func (s *Store) nextRecord(old record, req ApplyRequest, ref bodyRef) record {
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

func newConflictError(environment string, base int64, current record) error {
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
		return wrapUnchanged(err)
	}
	return nil
}

// swap replaces the current record if its store revision is still storeRevision.
func (s *Store) swap(ctx context.Context, environment string, next record, body []byte, storeRevision platform.Revision) error {
	value, err := encodeCurrent(next, body, s.inlineBytes)
	if err != nil {
		return err
	}
	w := swapper{store: s, environment: environment, next: next, value: value, storeRevision: storeRevision}
	return w.run(ctx)
}

// Package docstore keeps accepted environment documents in the platform's
// store: the record in force, its history, promotion and rollback.
//
// A change is accepted by one compare-and-swap on the current record. What is
// written before it (the history entry and chunks of the body) has no effect until
// then. See docs/design/005-environment-document.md.
package docstore

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Store reads and changes the documents of all environments. It is safe for
// concurrent use.
type Store struct {
	store platform.Store
	now   func() time.Time
	// Limits, which tests lower.
	chunkBytes  int
	inlineBytes int
	minKept     int64
}

// New returns a Store on the platform's store.
func New(store platform.Store) *Store {
	return &Store{store: store, now: time.Now, chunkBytes: maxChunkBytes, inlineBytes: maxInlineBytes, minKept: MinKeptRevisions}
}

// Current returns the document in force in an environment and the store revision
// of its record. The error wraps platform.ErrNotFound if no document was accepted
// yet.
func (s *Store) Current(ctx context.Context, environment string) (document.Accepted, platform.Revision, error) {
	entry, err := s.currentEntry(ctx, environment)
	if err != nil {
		return document.Accepted{}, 0, err
	}
	accepted, err := s.Resolve(ctx, entry)
	return accepted, entry.Revision, err
}

func (s *Store) currentEntry(ctx context.Context, environment string) (platform.Entry, error) {
	entry, err := s.store.Get(ctx, document.CurrentKey(environment))
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, eris.Wrapf(err, "environment %q has no document; apply one", environment)
	}
	return entry, eris.Wrapf(err, "cannot read the document of %q", environment)
}

// Resolve decodes the entry of a current record, for example one that a watch on
// document.CurrentKey reported. It reads the chunks of a large document from the
// store.
func (s *Store) Resolve(ctx context.Context, entry platform.Entry) (document.Accepted, error) {
	r, err := decodeRecord(entry.Value)
	if err != nil {
		return document.Accepted{}, err
	}
	return s.loadAccepted(ctx, r)
}

// Body is an accepted document in its stored form.
type Body struct {
	Revision  int64
	Content   []byte            // canonical JSON as written by the release that accepted the document
	WatchFrom platform.Revision // store revision of the record, from which to watch for changes
}

// Body returns the document in force without decoding it, so that hosts of different
// releases get the same bytes even if some fields are unknown to one of them.
// Errors are those of Current.
func (s *Store) Body(ctx context.Context, environment string) (Body, error) {
	entry, err := s.currentEntry(ctx, environment)
	if err != nil {
		return Body{}, err
	}
	r, err := decodeRecord(entry.Value)
	if err != nil {
		return Body{}, err
	}
	content, err := s.loadBody(ctx, r)
	return Body{Revision: r.Revision, Content: content, WatchFrom: entry.Revision}, err
}

// loadAccepted returns the accepted document of a record.
func (s *Store) loadAccepted(ctx context.Context, r record) (document.Accepted, error) {
	body, err := s.loadBody(ctx, r)
	if err != nil {
		return document.Accepted{}, eris.Wrapf(err, "cannot read revision %d", r.Revision)
	}
	d, err := document.Decode(body)
	if err != nil {
		return document.Accepted{}, err
	}
	return document.Accepted{
		Revision:   r.Revision,
		Document:   d,
		Operator:   r.Operator,
		Comment:    r.Comment,
		AcceptedAt: r.AcceptedAt,
		Origin:     r.Origin,
	}, nil
}

// loadBody returns the canonical JSON of a record's document, from the record itself
// or from its chunks.
func (s *Store) loadBody(ctx context.Context, r record) ([]byte, error) {
	if len(r.Document) == 0 {
		return s.readBody(ctx, r.Body)
	}
	if digest(r.Document) != r.Body.Digest {
		return nil, errDigestMismatch
	}
	return r.Document, nil
}

// currentRecord returns the record in force and its store revision, or a zero record
// and platform.Absent if there is none.
func (s *Store) currentRecord(ctx context.Context, environment string) (record, platform.Revision, error) {
	entry, err := s.store.Get(ctx, document.CurrentKey(environment))
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, platform.Absent, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	r, err := decodeRecord(entry.Value)
	return r, entry.Revision, err
}

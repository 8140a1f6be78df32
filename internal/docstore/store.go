// Package docstore keeps accepted environment documents in the platform's
// store: the record in force, its history, promotion and rollback.
//
// A change is accepted by one compare-and-swap on the current record. All that
// is written before it (parts of the body, the history entry) has no effect
// until then. See docs/design/005-environment-document.md.
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
	// The rest are bounds, which tests make smaller.
	chunkBytes  int
	inlineBytes int
	minKept     int64
}

// New returns a Store on the platform's store.
func New(store platform.Store) *Store {
	return &Store{store: store, now: time.Now, chunkBytes: maxChunkBytes, inlineBytes: maxInlineBytes, minKept: MinKeptRevisions}
}

// Current returns the accepted document in force in an environment and the
// store's revision of its record. It returns an error that is
// platform.ErrNotFound while no document was accepted.
func (s *Store) Current(ctx context.Context, environment string) (document.Accepted, platform.Revision, error) {
	entry, err := s.entry(ctx, environment)
	if err != nil {
		return document.Accepted{}, 0, err
	}
	accepted, err := s.Resolve(ctx, entry)
	return accepted, entry.Revision, err
}

func (s *Store) entry(ctx context.Context, environment string) (platform.Entry, error) {
	entry, err := s.store.Get(ctx, document.CurrentKey(environment))
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, eris.Wrapf(err, "environment %q has no document; apply one", environment)
	}
	return entry, eris.Wrapf(err, "cannot read the document of %q", environment)
}

// Resolve returns the accepted document of a current record, for example one
// that a watch on document.CurrentKey reported. It reads the parts of a large
// body from the store.
func (s *Store) Resolve(ctx context.Context, entry platform.Entry) (document.Accepted, error) {
	r, err := decodeRecord(entry.Value)
	if err != nil {
		return document.Accepted{}, err
	}
	return s.accepted(ctx, r)
}

// Body is an accepted document as it was stored.
type Body struct {
	Revision  int64
	Content   []byte            // canonical JSON, byte for byte as its operator's release wrote it
	WatchFrom platform.Revision // store revision of the record, to watch from
}

// Body returns the document in force without decoding it. Hosts of different
// releases get the same bytes, also for fields that only one of them knows.
// Errors are those of Current.
func (s *Store) Body(ctx context.Context, environment string) (Body, error) {
	entry, err := s.entry(ctx, environment)
	if err != nil {
		return Body{}, err
	}
	r, err := decodeRecord(entry.Value)
	if err != nil {
		return Body{}, err
	}
	content, err := s.body(ctx, r)
	return Body{Revision: r.Revision, Content: content, WatchFrom: entry.Revision}, err
}

// accepted completes a record with its document.
func (s *Store) accepted(ctx context.Context, r record) (document.Accepted, error) {
	body, err := s.body(ctx, r)
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

// body returns the canonical JSON of a record's document.
func (s *Store) body(ctx context.Context, r record) ([]byte, error) {
	if len(r.Document) == 0 {
		return s.readBody(ctx, r.Body)
	}
	if digest(r.Document) != r.Body.Digest {
		return nil, errDigest
	}
	return r.Document, nil
}

// current returns the record in force and its store revision; a zero record and
// platform.Absent if there is none.
func (s *Store) current(ctx context.Context, environment string) (record, platform.Revision, error) {
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

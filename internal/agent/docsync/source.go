package docsync

import (
	"context"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Source reads the document in force from its authoritative store.
type Source interface {
	// Read returns the document in force, with revision 0 if there is none, and the
	// store revision from which to call Wait.
	Read(ctx context.Context) (revision int64, content []byte, from platform.Revision, err error)
	// Wait blocks until the document may have changed after the store revision from, or
	// until the store ends the wait. It returns the revision for the next call.
	Wait(ctx context.Context, from platform.Revision) (changed bool, next platform.Revision, err error)
}

// StoreSource is a Source that reads from the platform's store.
type StoreSource struct {
	store       platform.Store
	documents   *docstore.Store
	environment string
}

// NewStoreSource returns a Source of the document of an environment.
func NewStoreSource(store platform.Store, environment string) *StoreSource {
	return &StoreSource{store: store, documents: docstore.New(store), environment: environment}
}

// Read implements Source.
func (s *StoreSource) Read(ctx context.Context) (int64, []byte, platform.Revision, error) {
	body, err := s.documents.Body(ctx, s.environment)
	if eris.Is(err, platform.ErrNotFound) {
		return 0, nil, 0, nil
	}
	return body.Revision, body.Content, body.WatchFrom, err
}

// Wait implements Source.
func (s *StoreSource) Wait(ctx context.Context, from platform.Revision) (bool, platform.Revision, error) {
	events, next, err := s.store.Watch(ctx, document.CurrentKey(s.environment), from)
	return len(events) > 0, next, err
}

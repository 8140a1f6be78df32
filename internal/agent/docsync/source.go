package docsync

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Source reads the document in force from where operators put it.
type Source interface {
	// Read returns the document in force, with revision 0 if there is none, and
	// the store revision to wait from.
	Read(ctx context.Context) (revision int64, content []byte, from platform.Revision, err error)
	// Wait blocks until the document may have changed after the store revision,
	// or until the store ends the wait, and returns the revision to wait from next.
	Wait(ctx context.Context, from platform.Revision) (changed bool, next platform.Revision, err error)
}

// StoreSource is a Source on the platform's store.
type StoreSource struct {
	store platform.Store
	key   string
}

// NewStoreSource returns the Source of an environment.
func NewStoreSource(store platform.Store, environment string) *StoreSource {
	return &StoreSource{store: store, key: document.CurrentKey(environment)}
}

// Read implements Source.
func (s *StoreSource) Read(ctx context.Context) (int64, []byte, platform.Revision, error) {
	entry, err := s.store.Get(ctx, s.key)
	if eris.Is(err, platform.ErrNotFound) {
		return 0, nil, 0, nil
	}
	if err != nil {
		return 0, nil, 0, err
	}
	var accepted document.Accepted
	if err := json.Unmarshal(entry.Value, &accepted); err != nil {
		return 0, nil, entry.Revision, eris.Wrap(err, "document: store record is no JSON; apply a corrected document")
	}
	content, err := json.Marshal(accepted.Document)
	return accepted.Revision, content, entry.Revision, err
}

// Wait implements Source.
func (s *StoreSource) Wait(ctx context.Context, from platform.Revision) (bool, platform.Revision, error) {
	events, next, err := s.store.Watch(ctx, s.key, from)
	return len(events) > 0, next, err
}

package docstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// HistoryEntry describes one accepted revision.
type HistoryEntry struct {
	Revision   int64     `json:"revision"`
	Operator   string    `json:"operator"`
	Comment    string    `json:"comment,omitempty"`
	Origin     string    `json:"origin"`
	AcceptedAt time.Time `json:"accepted_at"`
	Attempt    string    `json:"attempt"`
	Digest     string    `json:"digest"` // SHA-256 of the document; equal documents have equal digests
	Bytes      int       `json:"bytes"`  // length of the document as canonical JSON
}

// History returns up to limit accepted revisions, newest first; all if limit is
// zero. Attempts that were not accepted are left out.
func (s *Store) History(ctx context.Context, environment string, limit int) ([]HistoryEntry, error) {
	current, _, err := s.currentRecord(ctx, environment)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the history")
	}
	if current.Revision == 0 {
		return nil, nil
	}
	oldest := int64(1)
	if limit > 0 {
		oldest = max(oldest, current.Revision-int64(limit)+1)
	}
	chain, err := s.acceptedChain(ctx, environment, current, oldest)
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, 0, len(chain))
	for _, r := range chain {
		entries = append(entries, r.historyEntry())
	}
	return entries, nil
}

// AtRevision returns the document of an accepted revision. The error is a
// *RevisionNotFoundError if there is none.
func (s *Store) AtRevision(ctx context.Context, environment string, revision int64) (document.Accepted, error) {
	current, _, err := s.currentRecord(ctx, environment)
	if err != nil {
		return document.Accepted{}, eris.Wrap(err, "cannot read the history")
	}
	if revision < 1 || revision > current.Revision {
		return document.Accepted{}, &RevisionNotFoundError{Environment: environment, Revision: revision, Current: current.Revision}
	}
	chain, err := s.acceptedChain(ctx, environment, current, revision)
	if err != nil {
		return document.Accepted{}, err
	}
	found := chain[len(chain)-1]
	if found.Revision != revision {
		return document.Accepted{}, &RevisionNotFoundError{Environment: environment, Revision: revision, Current: current.Revision}
	}
	return s.loadAccepted(ctx, found)
}

// acceptedChain returns the accepted records from current down to oldest, newest
// first. It ends at the next higher one if oldest was skipped (see
// ApplyRequest.Above) or removed (see Prune). Each record links to the one that it
// replaced, so entries of attempts that were not accepted are never reached.
func (s *Store) acceptedChain(ctx context.Context, environment string, current record, oldest int64) ([]record, error) {
	if current.Revision <= oldest {
		return []record{current}, nil
	}
	entries, err := s.attempts(ctx, environment, oldest)
	if err != nil {
		return nil, err
	}
	chain, _ := followLinks(entries, current, oldest)
	return chain, nil
}

// followLinks follows the links from current down to oldest among entries. complete
// is false if an entry on the way is missing because it was removed.
func followLinks(entries map[link]record, current record, oldest int64) (chain []record, complete bool) {
	chain = []record{current}
	for last := current; last.Revision > oldest && last.Previous.Revision >= oldest; {
		previous, ok := entries[last.Previous]
		if !ok {
			return chain, false
		}
		chain = append(chain, previous)
		last = previous
	}
	return chain, true
}

// attempts returns all history entries from revision oldest on, accepted or not.
func (s *Store) attempts(ctx context.Context, environment string, oldest int64) (map[link]record, error) {
	found := make(map[link]record)
	err := s.forEach(ctx, document.HistoryPrefix(environment), document.HistoryKey(environment, oldest), 0, func(entry platform.Entry) error {
		r, err := decodeRecord(entry.Value)
		found[r.link()] = r
		return err
	})
	return found, eris.Wrap(err, "cannot read the history")
}

// forEach calls do for all entries with a prefix and a key after the given one. It
// lists pageSize entries at a time; zero means the store's maximum.
func (s *Store) forEach(ctx context.Context, prefix, after string, pageSize int, do func(platform.Entry) error) error {
	for {
		entries, _, err := s.store.List(ctx, prefix, after, pageSize)
		if err != nil || len(entries) == 0 {
			return err
		}
		for _, entry := range entries {
			if err := do(entry); err != nil {
				return err
			}
		}
		after = entries[len(entries)-1].Key
	}
}

func (r record) historyEntry() HistoryEntry {
	return HistoryEntry{
		Revision:   r.Revision,
		Operator:   r.Operator,
		Comment:    r.Comment,
		Origin:     r.Origin,
		AcceptedAt: r.AcceptedAt,
		Attempt:    r.Attempt,
		Digest:     r.Body.Digest,
		Bytes:      r.Body.Bytes,
	}
}

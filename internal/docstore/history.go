package docstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Item is one accepted revision of the history.
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

// History returns up to limit accepted revisions, newest first; all for a limit
// of zero. Attempts that lost their race are not among them.
func (s *Store) History(ctx context.Context, environment string, limit int) ([]HistoryEntry, error) {
	current, _, err := s.current(ctx, environment)
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
	chain, err := s.chain(ctx, environment, current, oldest)
	if err != nil {
		return nil, err
	}
	items := make([]HistoryEntry, 0, len(chain))
	for _, r := range chain {
		items = append(items, r.item())
	}
	return items, nil
}

// At returns an accepted revision of the history, or a *MissingError.
func (s *Store) AtRevision(ctx context.Context, environment string, revision int64) (document.Accepted, error) {
	current, _, err := s.current(ctx, environment)
	if err != nil {
		return document.Accepted{}, eris.Wrap(err, "cannot read the history")
	}
	if revision < 1 || revision > current.Revision {
		return document.Accepted{}, &RevisionNotFoundError{Environment: environment, Revision: revision, Current: current.Revision}
	}
	chain, err := s.chain(ctx, environment, current, revision)
	if err != nil {
		return document.Accepted{}, err
	}
	found := chain[len(chain)-1]
	if found.Revision != revision {
		return document.Accepted{}, &RevisionNotFoundError{Environment: environment, Revision: revision, Current: current.Revision}
	}
	return s.accepted(ctx, found)
}

// chain returns the accepted records from current down to a revision, or to the
// next higher one if that was skipped (see ApplyRequest.Above) or removed (see
// Prune), newest first.
// Each record names the one that it replaced, so that an entry of an attempt that
// lost is never reached.
func (s *Store) chain(ctx context.Context, environment string, current record, oldest int64) ([]record, error) {
	if current.Revision <= oldest {
		return []record{current}, nil
	}
	entries, err := s.attempts(ctx, environment, oldest)
	if err != nil {
		return nil, err
	}
	chain, _ := follow(entries, current, oldest)
	return chain, nil
}

// follow walks the links from current down to a revision among entries. Whole is
// false if entries were removed before it got there.
func follow(entries map[link]record, current record, oldest int64) (chain []record, whole bool) {
	chain = []record{current}
	for at := current; at.Revision > oldest && at.Previous.Revision >= oldest; {
		previous, ok := entries[at.Previous]
		if !ok {
			return chain, false
		}
		chain = append(chain, previous)
		at = previous
	}
	return chain, true
}

// attempts returns all history entries from a revision on, accepted or not.
func (s *Store) attempts(ctx context.Context, environment string, oldest int64) (map[link]record, error) {
	found := make(map[link]record)
	err := s.each(ctx, document.HistoryPrefix(environment), document.HistoryKey(environment, oldest), 0, func(entry platform.Entry) error {
		r, err := decodeRecord(entry.Value)
		found[r.link()] = r
		return err
	})
	return found, eris.Wrap(err, "cannot read the history")
}

// each calls do for all entries with a prefix after a key, some a page.
func (s *Store) each(ctx context.Context, prefix, after string, page int, do func(platform.Entry) error) error {
	for {
		entries, _, err := s.store.List(ctx, prefix, after, page)
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

func (r record) item() HistoryEntry {
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

package docstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
)

// Item is one accepted revision of the history.
type Item struct {
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
func (s *Store) History(ctx context.Context, environment string, limit int) ([]Item, error) {
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
	items := make([]Item, 0, len(chain))
	for _, r := range chain {
		items = append(items, r.item())
	}
	return items, nil
}

// At returns an accepted revision of the history, or a *MissingError.
func (s *Store) At(ctx context.Context, environment string, revision int64) (document.Accepted, error) {
	current, _, err := s.current(ctx, environment)
	if err != nil {
		return document.Accepted{}, eris.Wrap(err, "cannot read the history")
	}
	if revision < 1 || revision > current.Revision {
		return document.Accepted{}, &MissingError{Environment: environment, Revision: revision, Current: current.Revision}
	}
	chain, err := s.chain(ctx, environment, current, revision)
	if err != nil {
		return document.Accepted{}, err
	}
	found := chain[len(chain)-1]
	if found.Revision != revision {
		return document.Accepted{}, &MissingError{Environment: environment, Revision: revision, Current: current.Revision}
	}
	return s.accepted(ctx, found)
}

// chain returns the accepted records from current down to a revision, or to the
// next higher one if that was skipped (see ApplyRequest.Above), newest first.
// Each record names the one that it replaced, so that an entry of an attempt that
// lost is never reached.
func (s *Store) chain(ctx context.Context, environment string, current record, oldest int64) ([]record, error) {
	chain := []record{current}
	if current.Revision <= oldest {
		return chain, nil
	}
	entries, err := s.attempts(ctx, environment, oldest)
	if err != nil {
		return nil, err
	}
	for at := current; at.Revision > oldest && at.Previous.Revision >= oldest; {
		previous, ok := entries[at.Previous]
		if !ok {
			return nil, eris.Errorf("the history of %s lacks revision %d; it was removed from the store by other means",
				environment, at.Previous.Revision)
		}
		chain = append(chain, previous)
		at = previous
	}
	return chain, nil
}

// attempts returns all history entries from a revision on, accepted or not.
func (s *Store) attempts(ctx context.Context, environment string, oldest int64) (map[link]record, error) {
	found := make(map[link]record)
	after := document.HistoryKey(environment, oldest)
	for {
		entries, _, err := s.store.List(ctx, document.HistoryPrefix(environment), after, 0)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the history")
		}
		if len(entries) == 0 {
			return found, nil
		}
		for _, entry := range entries {
			r, err := decodeRecord(entry.Value)
			if err != nil {
				return nil, err
			}
			found[r.link()] = r
		}
		after = entries[len(entries)-1].Key
	}
}

func (r record) item() Item {
	return Item{
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

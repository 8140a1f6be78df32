package docstore

import (
	"context"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Bounds of Prune.
const (
	// MinKept is the smallest number of revisions that Prune keeps. An operator
	// whose answer was lost looks for his change among the last few.
	MinKeptRevisions = 10
	// chunkPage bounds a page of chunks to about 12 MB.
	chunkPage = 16
	// recordPage bounds a page of records, of which a few hold a document.
	recordPage = 200
)

// PruneRequest asks to remove what nobody needs any more.
type PruneRequest struct {
	Environment string
	Keep        int64 // number of revisions below the current one that stay, at least MinKept
	DryRun      bool  // count, remove nothing
}

// Pruned counts what was removed.
type PruneResult struct {
	Entries int `json:"entries"` // history entries, accepted or not
	Chunks  int `json:"chunks"`  // parts of bodies that no environment needs
	Bytes   int `json:"bytes"`   // of all of them
}

// Prune removes history entries of an environment that are older than the kept
// revisions, and chunks that no record of any environment names. It may run
// beside changes: a change writes its history entry before its chunks and puts
// each chunk anew, so that Prune either sees that a chunk is needed, or finds it
// put since it looked and leaves it.
func (s *Store) Prune(ctx context.Context, req PruneRequest) (PruneResult, error) {
	if req.Keep < s.minKept {
		return PruneResult{}, eris.Errorf("at least %d revisions are kept; ask to keep more", s.minKept)
	}
	current, _, err := s.current(ctx, req.Environment)
	if err != nil {
		return PruneResult{}, eris.Wrap(err, "cannot read the document in force")
	}
	var p PruneResult
	// The chunks are listed before the records that may name them.
	chunks, err := s.chunkSizes(ctx)
	if err != nil {
		return p, err
	}
	needed, old, err := s.survey(ctx, req.Environment, current.Revision-req.Keep)
	if err != nil {
		return p, err
	}
	for _, entry := range old {
		if err := s.remove(ctx, req, entry, &p.Entries, &p); err != nil {
			return p, err
		}
	}
	for _, chunk := range chunks {
		if needed[strings.TrimPrefix(chunk.Key, document.ChunkKey(""))] {
			continue
		}
		if err := s.remove(ctx, req, chunk, &p.Chunks, &p); err != nil {
			return p, err
		}
	}
	return p, nil
}

// found is an entry of the store without its value.
type found struct {
	platform.Entry
	bytes int
}

func (s *Store) chunkSizes(ctx context.Context) ([]found, error) {
	var chunks []found
	err := s.each(ctx, document.ChunkKey(""), "", chunkPage, func(entry platform.Entry) error {
		size := len(entry.Value)
		entry.Value = nil
		chunks = append(chunks, found{Entry: entry, bytes: size})
		return nil
	})
	return chunks, eris.Wrap(err, "cannot list the parts of documents")
}

// survey returns the digests of the chunks that records name which stay, and the
// history entries of an environment below a revision, which go.
func (s *Store) survey(ctx context.Context, environment string, oldest int64) (needed map[string]bool, old []found, err error) {
	needed = make(map[string]bool)
	history := document.HistoryPrefix(environment)
	err = s.each(ctx, document.RecordsPrefix(), "", recordPage, func(entry platform.Entry) error {
		r, err := decodeRecord(entry.Value)
		if err != nil {
			return err
		}
		if r.Revision < oldest && strings.HasPrefix(entry.Key, history) {
			size := len(entry.Value)
			entry.Value = nil
			old = append(old, found{Entry: entry, bytes: size})
			return nil
		}
		for _, chunk := range r.Body.Chunks {
			needed[chunk] = true
		}
		return nil
	})
	return needed, old, eris.Wrap(err, "cannot list the records")
}

// remove deletes an entry that was not put again since it was found.
func (s *Store) remove(ctx context.Context, req PruneRequest, entry found, count *int, p *PruneResult) error {
	if !req.DryRun {
		err := s.store.Delete(ctx, entry.Key, entry.Revision)
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "stopped in the middle, which does no harm; run it again")
		}
	}
	*count++
	p.Bytes += entry.bytes
	return nil
}

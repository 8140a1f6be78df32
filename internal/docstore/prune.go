package docstore

import (
	"context"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

// Limits of Prune.
const (
	// MinKeptRevisions is the smallest number of revisions that Prune keeps. An
	// operator whose answer was lost looks for the change among the latest revisions.
	MinKeptRevisions = 10
	// chunkPageSize limits a page of chunks to about 12 MB.
	chunkPageSize = 16
	// recordPageSize limits a page of records; only current records hold a document.
	recordPageSize = 200
)

// PruneRequest holds the arguments of Prune.
type PruneRequest struct {
	Environment string
	Keep        int64 // number of revisions below the current one to keep, at least MinKeptRevisions
	DryRun      bool  // only count
}

// PruneResult counts what was removed, or would be by a dry run.
type PruneResult struct {
	Entries int `json:"entries"` // history entries, accepted or not
	Chunks  int `json:"chunks"`  // chunks that no record refers to
	Bytes   int `json:"bytes"`   // total size of their values
}

// Prune removes history entries of an environment that are older than the kept
// revisions, and chunks that no record of any environment refers to. It is safe to
// run concurrently with changes: a change writes its history entry before its
// chunks and rewrites chunks that already exist, so Prune either finds the
// reference, or its conditional delete fails because the chunk's store revision has
// changed.
func (s *Store) Prune(ctx context.Context, req PruneRequest) (PruneResult, error) {
	if req.Keep < s.minKept {
		return PruneResult{}, eris.Errorf("at least %d revisions are kept; ask to keep more", s.minKept)
	}
	current, _, err := s.currentRecord(ctx, req.Environment)
	if err != nil {
		return PruneResult{}, eris.Wrap(err, "cannot read the document in force")
	}
	var p PruneResult
	// Chunks must be listed before the records that may refer to them.
	chunks, err := s.listChunks(ctx)
	if err != nil {
		return p, err
	}
	referenced, old, err := s.scanRecords(ctx, req.Environment, current.Revision-req.Keep)
	if err != nil {
		return p, err
	}
	for _, entry := range old {
		if err := s.remove(ctx, req, entry, &p.Entries, &p); err != nil {
			return p, err
		}
	}
	for _, chunk := range chunks {
		if referenced[strings.TrimPrefix(chunk.Key, document.ChunkKey(""))] {
			continue
		}
		if err := s.remove(ctx, req, chunk, &p.Chunks, &p); err != nil {
			return p, err
		}
	}
	return p, nil
}

// sizedEntry is an entry of the store with its value replaced by its size.
type sizedEntry struct {
	platform.Entry
	size int
}

func (s *Store) listChunks(ctx context.Context) ([]sizedEntry, error) {
	var chunks []sizedEntry
	err := s.forEach(ctx, document.ChunkKey(""), "", chunkPageSize, func(entry platform.Entry) error {
		size := len(entry.Value)
		entry.Value = nil
		chunks = append(chunks, sizedEntry{Entry: entry, size: size})
		return nil
	})
	return chunks, eris.Wrap(err, "cannot list the parts of documents")
}

// scanRecords returns the history entries of an environment below revision oldest,
// which are to be removed, and the digests of the chunks that all other records
// refer to.
func (s *Store) scanRecords(ctx context.Context, environment string, oldest int64) (referenced map[string]bool, old []sizedEntry, err error) {
	referenced = make(map[string]bool)
	history := document.HistoryPrefix(environment)
	err = s.forEach(ctx, document.RecordsPrefix(), "", recordPageSize, func(entry platform.Entry) error {
		r, err := decodeRecord(entry.Value)
		if err != nil {
			return err
		}
		if r.Revision < oldest && strings.HasPrefix(entry.Key, history) {
			size := len(entry.Value)
			entry.Value = nil
			old = append(old, sizedEntry{Entry: entry, size: size})
			return nil
		}
		for _, chunk := range r.Body.Chunks {
			referenced[chunk] = true
		}
		return nil
	})
	return referenced, old, eris.Wrap(err, "cannot list the records")
}

// remove deletes an entry unless it was written since it was listed.
func (s *Store) remove(ctx context.Context, req PruneRequest, entry sizedEntry, count *int, p *PruneResult) error {
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
	p.Bytes += entry.size
	return nil
}

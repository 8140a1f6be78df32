// Package journal records what a stand-in has executed, so that tests can verify that
// nothing ran twice. Entries are kept in memory and, if a file is given, appended to
// it as JSON lines with one write each, so that they survive a killed process.
package journal

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// maxEntries limits the entries kept in memory. The file keeps all of them.
const maxEntries = 200_000

// Journal is an append-only list of entries of type T. The zero value keeps entries in
// memory only. It is safe for concurrent use.
type Journal[T any] struct {
	mu      sync.Mutex
	entries []T      // guarded by mu
	dropped int      // number of oldest entries removed from memory; guarded by mu
	file    *os.File // nil if entries are kept in memory only
}

// Open returns a journal that appends to the file at path. With an empty path it keeps
// entries in memory only.
func Open[T any](path string) (*Journal[T], error) {
	j := &Journal[T]{}
	if path == "" {
		return j, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "journal: cannot open the file; set --journal to a writable path")
	}
	j.file = file
	return j, nil
}

// Append appends the entry that makeEntry returns for its number. Numbers count from
// 1. If the file cannot be written, the entry is still kept in memory.
func (j *Journal[T]) Append(makeEntry func(number int) T) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := makeEntry(j.dropped + len(j.entries) + 1)
	j.entries = append(j.entries, e)
	if len(j.entries) > maxEntries {
		j.entries = j.entries[1:]
		j.dropped++
	}
	if j.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "journal: cannot encode an entry")
	}
	if _, err := j.file.Write(append(line, '\n')); err != nil {
		return eris.Wrap(err, "journal: cannot append to the file; free disk space")
	}
	return nil
}

// After returns a copy of the entries with numbers above number that are still in
// memory.
func (j *Journal[T]) After(number int) []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := min(max(0, number-j.dropped), len(j.entries))
	return append([]T{}, j.entries[first:]...)
}

// Close closes the file, if there is one.
func (j *Journal[T]) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

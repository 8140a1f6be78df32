package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File // guarded by mu
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{started: time.Now(), file: file}, err
}

// line writes a line with the time since the start, to standard output too.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(io.MultiWriter(r.file, os.Stdout), text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

// Package asynclog writes log lines without ever blocking a request: lines pass
// through a bounded queue, and lines that do not fit are counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for a slow standard output.
	queueLines = 512
	// queueBytes bounds their size: paths and other texts of callers may have 16 KB, a line of 400 bytes is usual.
	queueBytes = 1 << 20
	// maxBatchBytes bounds one write, which carries all queued lines that fit.
	maxBatchBytes = 32 << 10
	// closeTimeout bounds the wait for a slow output at the end of the process. It is
	// within the maxExitMargin of package process.
	closeTimeout = 120 * time.Millisecond
)

// Writer queues lines for another writer. It never blocks and is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool // guarded by mu; lines is closed
}

// NewWriter starts a goroutine that writes to out. Call Close at the end.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of the line or counts it as
// dropped. Lines after Close are dropped: requests may outlive the log.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	size := int64(len(line))
	if w.queued.Add(size) > queueBytes {
		w.queued.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines but waits at most closeTimeout.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	batch := make([]byte, 0, maxBatchBytes)
	for line := range w.lines {
		w.queued.Add(-int64(len(line)))
		batch = append(batch[:0], line...)
		batch = w.appendQueued(batch)
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"level":"WARN","msg":"log: lines dropped because standard output is slow","lines":%d}`+"\n", n)
		}
		_, _ = w.out.Write(batch) // a failure of the log itself cannot be reported anywhere
	}
}

// appendQueued appends the lines that are already queued.
func (w *Writer) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			w.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

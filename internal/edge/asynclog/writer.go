// Package asynclog writes log lines without ever making a request wait: lines
// pass through a bounded queue, and what does not fit is counted.
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
	// maxBatchBytes bounds one write, which carries all lines at hand.
	maxBatchBytes = 32 << 10
	// closeWait bounds the wait for a slow output at the end of the process, well
	// within what a planned stop leaves.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for another writer. It never blocks and is safe for
// concurrent use.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter starts the goroutine that writes to out. Call Close at the end.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It keeps a copy of the line, or counts it as
// dropped.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, unless the output takes longer than closeWait.
// Write must not be called any more.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
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
		batch = append(batch[:0], line...)
		batch = w.appendQueued(batch)
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"level":"WARN","msg":"log: lines dropped because standard output is slow","lines":%d}`+"\n", n)
		}
		_, _ = w.out.Write(batch) // there is nowhere to report that the log itself fails
	}
}

// fill adds the lines that are waiting already.
func (w *Writer) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

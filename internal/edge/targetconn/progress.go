package targetconn

import (
	"sync/atomic"
	"time"
)

// progress knows when a target last sent something, and whether requests wait for responses. It
// is safe for concurrent use.
type progress struct {
	waiting atomic.Int64
	last    atomic.Int64 // when the last bytes came, or a request began to wait when none did; since clockStart
}

// clockStart is the origin of the times in progress. They are read for each piece of a stream, which
// the clock of the runtime makes cheap; that it does not count suspensions is no harm here.
var clockStart = time.Now()

// waitingRequest is a request whose response has not begun; nil if it doesn't count.
type waitingRequest struct{ progress *progress }

// begin counts a request that waits for its response if it was sent to the target directly.
func (p *progress) begin(direct bool) *waitingRequest {
	if !direct {
		return nil
	}
	if p.waiting.Add(1) == 1 {
		p.received()
	}
	return &waitingRequest{p}
}

// end ends the wait. received reports whether the response has begun.
func (w *waitingRequest) end(received bool) {
	if w == nil {
		return
	}
	if received {
		w.progress.received()
	}
	w.progress.waiting.Add(-1)
}

// received notes that a target has sent something.
func (p *progress) received() { p.last.Store(int64(time.Since(clockStart))) }

// silence returns the time since the last bytes, 0 if no request waits.
func (p *progress) silence() time.Duration {
	if p.waiting.Load() == 0 {
		return 0
	}
	return max(0, time.Since(clockStart)-time.Duration(p.last.Load()))
}

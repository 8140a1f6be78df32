package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/memquota"
)

const (
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// headCost, headerLineCost and headerByteCost are what a request's head costs in memory: net/http parses
	// it into a map, which is copied for the call and again for each send. Measured with 1,000 lines of other
	// names, a line costs 118 to 130 bytes where it is parsed and 114 in each copy, and the text of a send as well.
	headCost       = 1 << 10
	headerLineCost = 512
	headerByteCost = 3
	// promptPartCost is what a part of a prompt costs that the head names.
	promptPartCost = 128
	// wholeBodyBytes is up to which size a body with a length gets its memory at once. Larger ones begin with
	// firstBodyBytes, chunked ones with firstChunkedBytes, and get more as they arrive.
	wholeBodyBytes    = 16 << 10
	firstBodyBytes    = 64 << 10
	firstChunkedBytes = 4 << 10
	// lingerTime is how long what a client still sends is read after its request was rejected, and
	// slowLingerTime the same for a slow body. A connection that is closed before may lose the rejection.
	lingerTime     = 2 * time.Second
	slowLingerTime = 200 * time.Millisecond
	// minMemoryRetryAfter and memoryRetrySpread are when a request may come back that found no memory: slow
	// bodies have been rejected by then.
	minMemoryRetryAfter = 500 * time.Millisecond
	memoryRetrySpread   = time.Second
)

func memoryRetryAfter() time.Duration { return minMemoryRetryAfter + rand.N(memoryRetrySpread) }

// memoryRejection returns the rejection of a request that has not run and for which there is no memory.
func memoryRejection(v memquota.Verdict) *edge.Rejection {
	if v == memquota.AccountShort {
		return &edge.Rejection{Status: http.StatusTooManyRequests, Reason: edge.ReasonAccountMemory, RetryAfter: memoryRetryAfter()}
	}
	return edge.Unavailable(edge.ReasonNoMemory, memoryRetryAfter())
}

// sizeOfHead returns the number of header lines and what the head costs in memory.
func sizeOfHead(r *http.Request) (lines int, cost int64) {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		lines += len(values)
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return lines, headCost + int64(lines)*headerLineCost + int64(size)*headerByteCost
}

// holdHead counts what the head of a request costs, and its body if that is short.
func (h *Handler) holdHead(r *http.Request, now bootclock.Instant) (memquota.Hold, *edge.Rejection) {
	lines, cost := sizeOfHead(r)
	limit := h.MaxHeaderLines
	if limit <= 0 {
		limit = DefaultMaxHeaderLines
	}
	if lines > limit {
		return memquota.Hold{}, &edge.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: edge.ReasonHeaderLines}
	}
	if r.ContentLength > 0 && r.ContentLength <= wholeBodyBytes {
		cost += r.ContentLength
	}
	hold, verdict := h.Memory.Open(cost, now)
	if verdict != memquota.Granted {
		return hold, memoryRejection(verdict)
	}
	return hold, nil
}

// readBody reads the request's body into the call, until the call's deadline. It returns the
// rejection if that fails; rejected means that the caller has been sent one already.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, a *edge.AuthorizedCall, c *connection, hold *memquota.Hold) (rejection *edge.Rejection, rejected bool) {
	if g := a.Call.Generation; g != nil && len(g.Prefix) > freeHeaderLines {
		if verdict := hold.Grow(int64(len(g.Prefix))*promptPartCost, a.Arrived); verdict != memquota.Granted {
			h.rejectUnread(w, r, a.Call, memoryRejection(verdict), a.Arrived, hold)
			return nil, true
		}
	}
	limit := h.Policy.Current().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, false
	}
	if r.ContentLength > limit {
		h.rejectUnread(w, r, a.Call, &edge.Rejection{Status: http.StatusRequestEntityTooLarge, Reason: edge.ReasonTooLarge}, a.Arrived, hold)
		return nil, true
	}
	if r.ContentLength > wholeBodyBytes {
		if verdict := hold.Admit(r.ContentLength, a.Arrived); verdict != memquota.Granted {
			h.rejectUnread(w, r, a.Call, memoryRejection(verdict), a.Arrived, hold)
			return nil, true
		}
	}
	c.receiveBody(true)
	defer c.receiveBody(false)
	stopRejecting := h.rejectWhileReading(w, a)
	defer context.AfterFunc(r.Context(), func() { endRead(w) })()
	defer time.AfterFunc(a.TimeLeft(), func() { endRead(w) }).Stop()
	hold.BeginReceiving(bootclock.Now(), func() { endRead(w) })
	body, err := (&bodyReader{body: r.Body, length: r.ContentLength, limit: limit, hold: hold}).readAll()
	evicted := hold.EndReceiving()
	var short *memoryError
	switch {
	case stopRejecting():
		return nil, true
	case errors.Is(err, errBodyTooLarge):
		rejection = &edge.Rejection{Status: http.StatusRequestEntityTooLarge, Reason: edge.ReasonTooLarge}
	case evicted:
		rejection = &edge.Rejection{Status: http.StatusRequestTimeout, Reason: edge.ReasonSlowBody}
	case errors.As(err, &short):
		rejection = memoryRejection(short.verdict)
	case err != nil && a.TimeLeft() <= 0:
		return &edge.Rejection{Status: http.StatusRequestTimeout, Reason: edge.ReasonTimeout}, false
	case err != nil && h.Drain.Begun().Err() != nil:
		return edge.Stopping(), false
	case err != nil:
		return &edge.Rejection{Status: http.StatusBadRequest, Reason: edge.ReasonBadRequest}, false
	default:
		a.Call.Body = body
		return nil, false
	}
	h.rejectUnread(w, r, a.Call, rejection, a.Arrived, hold)
	return nil, true
}

// rejectUnread rejects a request whose body has not been read, and closes its connection. The client may
// still write: it gets the rejection at once, and what it sends is read for a while.
func (h *Handler) rejectUnread(w http.ResponseWriter, r *http.Request, c *edge.Call, rejection *edge.Rejection, arrived bootclock.Instant, hold *memquota.Hold) {
	hold.Close()
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.receiveBody(true) // until it is closed, a connection that lingers may be closed for a new one
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // otherwise the body would be read before the response is sent
	w.Header().Set("Connection", "close")
	h.reject(w, c, rejection, arrived)
	if control.Flush() != nil || r.ContentLength == 0 {
		return
	}
	linger := lingerTime
	if rejection.Reason == edge.ReasonSlowBody {
		linger = slowLingerTime
	}
	if control.SetReadDeadline(time.Now().Add(linger)) == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

var errBodyTooLarge = errors.New("the body exceeds the limit of the configuration")

// memoryError states that there is no memory for more of a body.
type memoryError struct{ verdict memquota.Verdict }

func (*memoryError) Error() string { return "no memory for the body" }

// bodyReader reads a body into memory that grows with what has arrived, not with what is announced. What
// it allocates is at most four times as much.
type bodyReader struct {
	body   io.Reader
	length int64 // announced; negative for a chunked body
	limit  int64
	hold   *memquota.Hold
	buffer []byte
	n      int // bytes that have arrived
}

// next returns the size of the next buffer.
func (b *bodyReader) next() int64 {
	have := int64(len(b.buffer))
	switch {
	case b.length < 0 && have == 0:
		return min(firstChunkedBytes, b.limit+1)
	case b.length < 0:
		return min(2*have, b.limit+1) // one more byte shows that the body is too large
	case b.length <= wholeBodyBytes:
		return b.length
	case have == 0:
		return min(firstBodyBytes, b.length)
	default:
		return min(4*have, b.length)
	}
}

// grow replaces the buffer by a larger one. Both are held until the bytes have been copied.
func (b *bodyReader) grow() error {
	size, before := b.next(), int64(len(b.buffer))
	if b.length < 0 || b.length > wholeBodyBytes { // other bodies were counted with the head
		if verdict := b.hold.Grow(size, bootclock.Now()); verdict != memquota.Granted {
			return &memoryError{verdict}
		}
	}
	buffer := make([]byte, size)
	copy(buffer, b.buffer[:b.n])
	b.buffer = buffer
	if before > 0 {
		b.hold.Shrink(before)
	}
	return nil
}

// readAll returns the body.
func (b *bodyReader) readAll() ([]byte, error) {
	for {
		if b.n == len(b.buffer) {
			switch have := int64(b.n); {
			case b.length < 0 && have > b.limit:
				return nil, errBodyTooLarge
			case b.length >= 0 && have == b.length:
				return b.buffer, nil
			}
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
		read, err := b.body.Read(b.buffer[b.n:])
		b.n += read
		if b.length < 0 || b.length > wholeBodyBytes {
			b.hold.Received(read, bootclock.Now())
		}
		switch {
		case err == io.EOF && b.length >= 0 && int64(b.n) < b.length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF && int64(b.n) > b.limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return b.buffer[:b.n:b.n], nil
		case err != nil:
			return nil, err
		}
	}
}

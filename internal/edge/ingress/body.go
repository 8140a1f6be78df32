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

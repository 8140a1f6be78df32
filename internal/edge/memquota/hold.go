package memquota

import "corianderhitch/internal/edge/bootclock"

// Hold is what one request holds of a budget. The zero value holds nothing of a budget without a bound. It
// is not safe for concurrent use.
type Hold struct {
	budget  *Budget
	bytes   int64    // held while t is nil
	t       *tracked // nil while the request is only counted
	account string
	// abort and started are those of BeginReceiving; abort is nil while no body is coming in.
	abort    func()
	started  bootclock.Instant
	received int64
}

// SetAccount states on whose behalf the memory is held.
func (h *Hold) SetAccount(account string) {
	h.account = account
	if h.t == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	bytes := h.t.bytes
	b.add(h.t, -bytes)
	h.t.account = account
	b.add(h.t, bytes)
}

// Grow adds bytes. Small requests cost one atomic addition while the budget is hardly used.
func (h *Hold) Grow(bytes int64, now bootclock.Instant) Verdict {
	b := h.budget
	if b == nil {
		return Granted
	}
	if h.t == nil {
		if h.bytes+bytes <= SmallBytes {
			if b.held.Add(bytes) <= b.size/quietPart {
				h.bytes += bytes
				return Granted
			}
			b.held.Add(-bytes)
		}
		h.track(now)
	}
	return h.grow(bytes, 0, now)
}

// Admit reports whether there is room for a body of the given length, of which nothing is counted yet.
func (h *Hold) Admit(length int64, now bootclock.Instant) Verdict {
	if h.budget == nil {
		return Granted
	}
	if h.t == nil {
		h.track(now)
	}
	return h.grow(0, length, now)
}

func (h *Hold) grow(bytes, ahead int64, now bootclock.Instant) Verdict {
	verdict, victims := h.budget.grow(h.t, bytes, ahead, now)
	for _, v := range victims {
		v.abort()
	}
	return verdict
}

// Shrink gives back bytes of Grow.
func (h *Hold) Shrink(bytes int64) {
	b := h.budget
	switch {
	case b == nil:
	case h.t == nil:
		h.bytes -= bytes
		b.held.Add(-bytes)
	default:
		b.mu.Lock()
		defer b.mu.Unlock()
		bytes = min(bytes, h.t.bytes)
		b.held.Add(-bytes)
		b.add(h.t, -bytes)
	}
}

// track makes the request known by itself.
func (h *Hold) track(now bootclock.Instant) {
	h.t = &tracked{account: h.account}
	b := h.budget
	b.mu.Lock()
	b.add(h.t, h.bytes)
	h.bytes = 0
	b.mu.Unlock()
	if h.abort != nil {
		h.receive(now)
	}
}

// receive puts a tracked request among those whose bodies are coming in.
func (h *Hold) receive(now bootclock.Instant) {
	h.t.started, h.t.abort = h.started, h.abort
	h.t.received.Store(h.received)
	h.t.progressed.Store(int64(now))
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiving[h.t] = struct{}{}
}

// BeginReceiving states that the request's body is coming in: if the budget runs short, abort may be called,
// once and without locks. It must make the reader of the body fail.
func (h *Hold) BeginReceiving(now bootclock.Instant, abort func()) {
	h.started, h.abort = now, abort
	if h.t != nil {
		h.receive(now)
	}
}

// Received records that a part of the body has arrived.
func (h *Hold) Received(bytes int, now bootclock.Instant) {
	h.received += int64(bytes)
	if h.t != nil && bytes > 0 {
		h.t.received.Store(h.received)
		h.t.progressed.Store(int64(now))
	}
}

// EndReceiving states that the body is complete or not read any more. It reports whether the request was
// rejected for another one.
func (h *Hold) EndReceiving() (evicted bool) {
	h.abort = nil
	if h.t == nil {
		return false
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, h.t)
	return h.t.evicted.Load()
}

// Close gives everything back. It may be called again.
func (h *Hold) Close() {
	if h.t == nil {
		h.Shrink(h.bytes)
		return
	}
	h.EndReceiving()
	h.Shrink(1 << 62)
}

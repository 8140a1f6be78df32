package streaming

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

const (
	initialBufferBytes = 2 << 10
	// maxEventBytes bounds one event; a larger one ends the stream with an error.
	maxEventBytes = 256 << 10
	// smallBufferBytes is what each stream may hold without counting as memory held for callers. Events
	// of some tokens are far smaller.
	smallBufferBytes = 32 << 10
)

var (
	errMissingEvents = eris.New("stream: event ids are not consecutive; the run cannot continue")
	errEventTooLarge = eris.New("stream: event exceeds 256 KiB")
	errNoMemory      = eris.New("stream: no memory was free for an event of more than 32 KiB")
)

// segment is the part of a stream that one target sends. It returns whole events
// only, so that the run can continue at another engine between two events.
type segment struct {
	target   *targets.Target
	load     inflight.Load // counted for target
	response *targetconn.Response
	cancel   context.CancelFunc // cancels the run at the target
	body     io.Reader          // of response
	watch    *startWatch        // of the run's start at the target
	// unreadAhead is the number of prompt tokens that the target had to prefill before the run's.
	unreadAhead int
	memory      *memquota.Budget // counts what the buffer holds beyond smallBufferBytes
	charged     int64            // bytes that memory counts
	buffer      []byte
	start       int // buffer[start:end] has not been returned yet
	end         int
	searched    int   // buffer[start:searched] contains no end of an event
	repeated    int64 // events that the caller already had
}

// batch is one or more whole events.
type batch struct {
	bytes  []byte // valid until the next call of next
	events int
	// repeated is the number of events that were dropped because the caller already has them.
	repeated int64
	lastID   int64
	hasID    bool
}

// next returns the next whole events. It skips events with ids up to after, but not more than
// there are, and fails if the ids that follow are not consecutive. io.EOF is returned only if
// the target ended the stream after a whole event.
func (s *segment) next(after int64) (batch, error) {
	for {
		if b, ok := s.completeEvents(); ok {
			kept, err := dropDelivered(b, after)
			if err != nil {
				return kept, err
			}
			if s.repeated += kept.repeated; s.repeated > max(after, 0)+1 { // ids may begin with 0
				return batch{}, eris.Wrapf(errMissingEvents, "%d events up to %d were repeated", s.repeated, after)
			}
			if kept.events > 0 {
				return kept, nil
			}
			continue
		}
		if err := s.fill(); err != nil {
			return batch{}, err
		}
	}
}

// completeEvents removes the whole events from the buffer and returns them.
func (s *segment) completeEvents() ([]byte, bool) {
	from := max(s.start, s.searched-1) // the last byte searched may begin an end
	s.searched = s.end
	cut := bytes.LastIndex(s.buffer[from:s.end], []byte("\n\n"))
	if cut < 0 {
		return nil, false
	}
	events := s.buffer[s.start : from+cut+2]
	s.start = from + cut + 2
	return events, true
}

// fill reads more bytes into the buffer.
func (s *segment) fill() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.searched -= s.start
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
			return errEventTooLarge
		}
		size := max(initialBufferBytes, 2*len(s.buffer))
		if !s.charge(size) {
			return errNoMemory
		}
		larger := make([]byte, size)
		copy(larger, s.buffer)
		s.buffer = larger
	}
	n, err := s.body.Read(s.buffer[s.end:])
	s.end += n
	if n > 0 {
		return nil // a persistent error is returned by the next read
	}
	if err == io.EOF && s.end > 0 {
		return io.ErrUnexpectedEOF // the stream ended within an event
	}
	return err
}

// charge counts the memory of a larger buffer as held. It returns false if the host has no memory for it.
func (s *segment) charge(size int) bool {
	more := int64(max(0, size-smallBufferBytes)) - s.charged
	if more <= 0 {
		return true
	}
	if !s.memory.TryCharge(more) {
		return false
	}
	s.charged += more
	return true
}

// close ends the response, cancels the run at the target if it still executes and gives its memory back.
func (s *segment) close() {
	s.buffer, s.start, s.end, s.searched = nil, 0, 0, 0
	s.memory.Charge(-s.charged)
	s.charged = 0
	s.watch.stop()
	s.response.Close()
	s.cancel()
}

// dropDelivered removes the events that the caller already has and checks that the
// ids of the rest are consecutive.
func dropDelivered(data []byte, after int64) (batch, error) {
	b := batch{bytes: data, lastID: after}
	for rest := data; len(rest) > 0; {
		size := bytes.Index(rest, []byte("\n\n")) + 2
		id, ok := eventID(rest[:size])
		rest = rest[size:]
		if !ok {
			b.events++
			continue
		}
		if id <= after {
			b.bytes = rest
			b.repeated++
			continue
		}
		if id != b.lastID+1 {
			return batch{}, eris.Wrapf(errMissingEvents, "event %d follows %d", id, b.lastID)
		}
		b.lastID, b.hasID = id, true
		b.events++
	}
	return b, nil
}

// eventID returns the number in the id line of an event.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

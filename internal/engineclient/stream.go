package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
)

const (
	// maxLineBytes bounds one line and one event of the stream. A token is far smaller.
	maxLineBytes = 256 << 10
	// maxBytesPerEvent bounds an event with the comments and empty lines before it.
	maxBytesPerEvent = 2 * maxLineBytes
	// readBufferBytes is the size of the read buffer, which holds several batches of
	// tokens.
	readBufferBytes = 8 << 10
	// drainTimeout bounds the wait for the rest of a response after its last event.
	drainTimeout = 10 * time.Millisecond
)

// Event is one event of a stream: a token, or the end of the generation if Done is set.
type Event struct {
	Token engine.Token
	Done  *engine.Done
}

// Stream reads the events of one generation. It is not safe for concurrent use, except
// for Close.
type Stream struct {
	body      io.ReadCloser
	lines     *bufio.Reader
	cancel    context.CancelFunc
	eventName []byte
	data      []byte
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, lines: bufio.NewReaderSize(body, readBufferBytes), cancel: cancel}
}

// Next returns the next event. It must not be called again after the end or an error.
// The errors are ErrBroken, ErrProtocol or a *FailedError.
func (s *Stream) Next() (Event, error) {
	s.eventName, s.data = s.eventName[:0], s.data[:0]
	for read := 0; ; {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		if read += len(line) + 1; read > maxBytesPerEvent {
			return Event{}, eris.Wrapf(ErrProtocol, "%d bytes without an event", read)
		}
		if len(line) == 0 {
			if len(s.data) == 0 {
				continue
			}
			return s.decode()
		}
		if err := s.addField(line); err != nil {
			return Event{}, err
		}
	}
}

// Buffered reports whether data is buffered, so that Next may return without waiting for
// the network.
func (s *Stream) Buffered() bool { return s.lines.Buffered() > 0 }

// Close closes the stream. The generation continues on the engine.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// DrainAndClose reads the rest of a response after its last event, so that the connection
// can be reused, and closes the stream.
func (s *Stream) DrainAndClose() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	_, _ = io.CopyN(io.Discard, s.lines, maxLineBytes)
	timer.Stop()
	s.Close()
}

// readLine returns the next line without its end. It is valid until the next read.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return s.readLongLine(line)
	}
	if err != nil {
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine returns a line that exceeds the read buffer and begins with first.
func (s *Stream) readLongLine(first []byte) ([]byte, error) {
	line := append([]byte(nil), first...)
	for len(line) <= maxLineBytes {
		part, err := s.lines.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if err != bufio.ErrBufferFull {
			return nil, eris.Wrap(ErrBroken, err.Error())
		}
	}
	return nil, eris.Wrap(ErrProtocol, "line is too long")
}

// addField adds a line of an event, in the form "name: value". Fields other than event
// and data are ignored.
func (s *Stream) addField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		s.eventName = append(s.eventName[:0], value...)
	case "data":
		if len(s.data)+len(value) > maxLineBytes {
			return eris.Wrap(ErrProtocol, "event is too long")
		}
		s.data = append(s.data, value...)
	}
	return nil
}

// decode decodes the event whose lines have been read.
func (s *Stream) decode() (Event, error) {
	switch string(s.eventName) {
	case "token":
		token, err := decodeToken(s.data)
		return Event{Token: token}, err
	case "done":
		var done engine.Done
		if err := json.Unmarshal(s.data, &done); err != nil {
			return Event{}, eris.Wrap(ErrProtocol, err.Error())
		}
		return Event{Done: &done}, nil
	case "error":
		var document problem.Document
		if err := json.Unmarshal(s.data, &document); err != nil {
			return Event{}, eris.Wrap(ErrProtocol, err.Error())
		}
		return Event{}, &FailedError{Problem: problem.FromDocument(document)}
	default:
		return Event{}, eris.Wrapf(ErrProtocol, "unknown event %q", s.eventName)
	}
}

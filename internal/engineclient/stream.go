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
	// maxLineBytes bounds one line of the event stream. A token is far smaller.
	maxLineBytes = 256 << 10
	// readBufferBytes holds several batches of tokens.
	readBufferBytes = 8 << 10
	// closeGrace bounds the wait for the rest of an answer whose end has been read.
	closeGrace = 10 * time.Millisecond
)

// Event is one message of a stream: a token, or the end when Done is set.
type Event struct {
	Token engine.Token
	Done  *engine.Done
}

// Stream reads one generation. It is not safe for concurrent use, except Close.
type Stream struct {
	body   io.ReadCloser
	lines  *bufio.Reader
	cancel context.CancelFunc
	name   []byte
	data   []byte
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, lines: bufio.NewReaderSize(body, readBufferBytes), cancel: cancel}
}

// Next returns the next event. After the end or an error it must not be called
// again. The errors are ErrBroken, ErrProtocol or a *FailedError.
func (s *Stream) Next() (Event, error) {
	s.name, s.data = s.name[:0], s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(s.data) == 0 {
				continue
			}
			return s.decode()
		}
		if err := s.field(line); err != nil {
			return Event{}, err
		}
	}
}

// Buffered tells whether Next may return without waiting for the network.
func (s *Stream) Buffered() bool { return s.lines.Buffered() > 0 }

// Close ends the stream. The generation goes on at the engine.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Drain reads the rest of an ended answer, so that the connection can be used
// again, and closes the stream.
func (s *Stream) DrainAndClose() {
	timer := time.AfterFunc(closeGrace, s.cancel)
	_, _ = io.CopyN(io.Discard, s.lines, maxLineBytes)
	timer.Stop()
	s.Close()
}

func (s *Stream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return s.longLine(line)
	}
	if err != nil {
		return nil, eris.Wrap(ErrBroken, err.Error())
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// longLine collects a line that exceeds the read buffer.
func (s *Stream) longLine(first []byte) ([]byte, error) {
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

func (s *Stream) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		s.name = append(s.name[:0], value...)
	case "data":
		if len(s.data)+len(value) > maxLineBytes {
			return eris.Wrap(ErrProtocol, "event is too long")
		}
		s.data = append(s.data, value...)
	}
	return nil
}

func (s *Stream) decode() (Event, error) {
	switch string(s.name) {
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
		return Event{}, eris.Wrapf(ErrProtocol, "unknown event %q", s.name)
	}
}

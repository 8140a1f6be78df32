package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/api/problem"
)

// maxEventBytes bounds one line of an SSE stream.
const maxLineBytes = 4 << 20

// tokenEvent is what a reader needs of one event.
type tokenEvent struct {
	generation string
	offset     int
	finishOnly bool // the event only tells why the generation ended
}

// decoder extracts the token of an event.
type decodeFunc func(data []byte) (tokenEvent, error)

// readStream reads an SSE answer to its end and checks that the offsets have no
// gap and no duplicate and come from one generation.
func readStream(a Arrival, sentAt time.Time, body io.Reader, decode decodeFunc) Outcome {
	reader := streamReader{outcome: Outcome{Arrival: a}, sentAt: sentAt, decode: decode}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4<<10), maxLineBytes)
	for scanner.Scan() {
		if reader.handleLine(scanner.Bytes()) {
			return reader.outcome
		}
	}
	reader.outcome.FailureCause = "stream cut"
	return reader.outcome
}

type streamReader struct {
	outcome     Outcome
	sentAt      time.Time
	lastTokenAt time.Time
	event       string
	generation  string
	decode      decodeFunc
}

// line takes one line and tells whether the stream has ended.
func (s *streamReader) handleLine(line []byte) bool {
	switch {
	case len(line) == 0:
		s.event = ""
	case bytes.HasPrefix(line, []byte("event:")):
		s.event = string(bytes.TrimSpace(line[len("event:"):]))
	case bytes.HasPrefix(line, []byte("data:")):
		return s.handleData(bytes.TrimSpace(line[len("data:"):]))
	}
	return false
}

func (s *streamReader) handleData(data []byte) bool {
	switch {
	case s.event == "error":
		var document problem.Document
		_ = json.Unmarshal(data, &document)
		s.outcome.FailureCause = string(document.Kind)
		return true
	case s.event == "done" || bytes.Equal(data, []byte("[DONE]")):
		return true
	}
	s.handleToken(data)
	return false
}

func (s *streamReader) handleToken(data []byte) {
	now := time.Now()
	token, err := s.decode(data)
	if err != nil {
		s.outcome.Violation = "unreadable token event"
		return
	}
	if token.finishOnly {
		return
	}
	if s.outcome.Tokens == 0 {
		s.generation = token.generation
		s.outcome.FirstResponse = now.Sub(s.sentAt)
	} else {
		s.outcome.TokenGaps = append(s.outcome.TokenGaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	if token.generation != s.generation {
		s.outcome.Violation = fmt.Sprintf("spliced: generation %s after %s", token.generation, s.generation)
	}
	if token.offset != s.outcome.Tokens {
		s.outcome.Violation = fmt.Sprintf("offset %d where %d was due", token.offset, s.outcome.Tokens)
	}
	s.outcome.Tokens++
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

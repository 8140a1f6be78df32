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
const maxEventBytes = 4 << 20

// tokenEvent is what a reader needs of one event.
type tokenEvent struct {
	generation string
	offset     int
	end        bool // the event only tells why the generation ended
}

// decoder extracts the token of an event.
type decoder func(data []byte) (tokenEvent, error)

// readStream reads an SSE answer to its end and checks that the offsets have no
// gap and no duplicate and come from one generation.
func readStream(a Arrival, begin time.Time, body io.Reader, decode decoder) Outcome {
	s := streamReader{outcome: Outcome{Arrival: a}, begin: begin, decode: decode}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4<<10), maxEventBytes)
	for scanner.Scan() {
		if s.line(scanner.Bytes()) {
			return s.outcome
		}
	}
	s.outcome.Failed = "stream cut"
	return s.outcome
}

type streamReader struct {
	outcome    Outcome
	begin      time.Time
	last       time.Time
	event      string
	generation string
	decode     decoder
}

// line takes one line and tells whether the stream has ended.
func (s *streamReader) line(line []byte) bool {
	switch {
	case len(line) == 0:
		s.event = ""
	case bytes.HasPrefix(line, []byte("event:")):
		s.event = string(bytes.TrimSpace(line[len("event:"):]))
	case bytes.HasPrefix(line, []byte("data:")):
		return s.data(bytes.TrimSpace(line[len("data:"):]))
	}
	return false
}

func (s *streamReader) data(data []byte) bool {
	switch {
	case s.event == "error":
		var document problem.Document
		_ = json.Unmarshal(data, &document)
		s.outcome.Failed = string(document.Kind)
		return true
	case s.event == "done" || bytes.Equal(data, []byte("[DONE]")):
		return true
	}
	s.token(data)
	return false
}

func (s *streamReader) token(data []byte) {
	now := time.Now()
	token, err := s.decode(data)
	if err != nil {
		s.outcome.Violation = "unreadable token event"
		return
	}
	if token.end {
		return
	}
	if s.outcome.Tokens == 0 {
		s.generation = token.generation
		s.outcome.First = now.Sub(s.begin)
	} else {
		s.outcome.Gaps = append(s.outcome.Gaps, now.Sub(s.last))
	}
	s.last = now
	if token.generation != s.generation {
		s.outcome.Violation = fmt.Sprintf("spliced: generation %s after %s", token.generation, s.generation)
	}
	if token.offset != s.outcome.Tokens {
		s.outcome.Violation = fmt.Sprintf("offset %d where %d was due", token.offset, s.outcome.Tokens)
	}
	s.outcome.Tokens++
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

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

// maxLineBytes limits one line of an SSE stream or of an experiment's output.
const maxLineBytes = 4 << 20

// tokenEvent is the part of a token event that the reader checks.
type tokenEvent struct {
	generation string
	offset     int
	finishOnly bool // the event only carries the finish reason, no token
}

// decodeFunc decodes the data of an event.
type decodeFunc func(data []byte) (tokenEvent, error)

// readStream reads an SSE response to its end and checks that the token offsets count up
// from 0 without gap or duplicate and that all tokens are of one generation.
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

// handleLine processes one line and reports whether the stream has ended.
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

// handleToken records the time of a token event and checks its generation and offset.
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

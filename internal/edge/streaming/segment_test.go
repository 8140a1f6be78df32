package streaming

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// endless repeats text without end and counts what was read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.read%len(e.text):])
	e.read += n
	return n, nil
}

// smallReads returns at most size bytes per read.
type smallReads struct {
	io.Reader
	size int
}

func (s smallReads) Read(p []byte) (int, error) { return s.Reader.Read(p[:min(len(p), s.size)]) }

// Each read searched the whole of an unfinished event, which took a processor for seconds.
func TestBytesThatAreNoEventCostLittleTime(t *testing.T) {
	source := &endless{text: strings.Repeat("x", 64)}
	startedAt := time.Now()
	_, err := (&segment{body: source}).next(0)
	require.ErrorIs(t, err, errEventTooLarge)
	require.LessOrEqual(t, source.read, maxEventBytes)
	require.Less(t, time.Since(startedAt), time.Second)
}

// A host with 112 MB may serve 200 streams at once, whose engines may all fail in the same way.
func TestUnfinishedEventsOfManyStreamsFitIntoMemory(t *testing.T) {
	const streams, bound = 200, 56 << 20
	held := 0
	for range streams {
		s := &segment{body: &endless{text: strings.Repeat("x", 1<<10)}}
		_, err := s.next(0)
		require.ErrorIs(t, err, errEventTooLarge)
		held += cap(s.buffer)
	}
	require.LessOrEqual(t, held, bound)
}

func TestLargestEventIsPassedOn(t *testing.T) {
	text := "id: 1\ndata: "
	text += strings.Repeat("x", maxEventBytes-len(text)-2) + "\n\n"
	b, err := (&segment{body: strings.NewReader(text)}).next(0)
	require.NoError(t, err)
	require.Equal(t, text, string(b.bytes))
}

func TestEventsAreFoundHoweverTheyAreSplit(t *testing.T) {
	const events = 200
	var sent bytes.Buffer
	for n := range events {
		fmt.Fprintf(&sent, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", n*n%500))
	}
	for name, body := range map[string]io.Reader{
		"one byte":     iotest.OneByteReader(bytes.NewReader(sent.Bytes())),
		"seven bytes":  smallReads{bytes.NewReader(sent.Bytes()), 7},
		"whole buffer": bytes.NewReader(sent.Bytes()),
		"half":         iotest.HalfReader(bytes.NewReader(sent.Bytes())),
	} {
		t.Run(name, func(t *testing.T) {
			s := &segment{body: body}
			var got bytes.Buffer
			last := int64(0)
			for {
				b, err := s.next(last)
				if err == io.EOF {
					break
				}
				require.NoError(t, err)
				got.Write(b.bytes)
				last = b.lastID
			}
			require.Equal(t, sent.String(), got.String())
			require.EqualValues(t, events, last)
		})
	}
}

// No event reached the caller, and none ended the stream, which was held until its deadline.
func TestEventsThatTheCallerHasAreSkippedUpToTheirNumber(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		after int64
	}{
		"one event":       {"id: 3\ndata: x\n\n", 20},
		"several events":  {"id: 1\ndata: x\n\nid: 2\ndata: x\n\n", 20},
		"id below 1":      {"id: 0\ndata: x\n\n", 0},
		"negative id":     {"id: -7\ndata: x\n\n", 5},
		"with a big jump": {"id: 19\ndata: x\n\n", 20},
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{text: c.text}
			_, err := (&segment{body: io.LimitReader(source, 1<<20)}).next(c.after)
			require.ErrorIs(t, err, errMissingEvents)
			require.Less(t, source.read, 2*initialBufferBytes)
		})
	}
}

func TestResumedStreamMayRepeatAllEvents(t *testing.T) {
	const delivered = 300
	var sent strings.Builder
	for n := 0; n <= delivered+1; n++ {
		fmt.Fprintf(&sent, "id: %d\ndata: x\n\n", n)
	}
	b, err := (&segment{body: strings.NewReader(sent.String())}).next(delivered)
	require.NoError(t, err)
	require.EqualValues(t, delivered+1, b.lastID)
	require.Equal(t, fmt.Sprintf("id: %d\ndata: x\n\n", delivered+1), string(b.bytes))
}

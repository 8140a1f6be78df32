package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/memquota"
)

// readRequestBody reads the body of a request that arrives in pieces of any size.
func readRequestBody(r *http.Request, limit int64, b *memquota.Budget) ([]byte, error) {
	_, cost := sizeOfHead(r)
	hold, _ := b.Open(cost, bootclock.Now())
	defer hold.Close()
	if r.ContentLength == 0 {
		return nil, nil
	}
	return (&bodyReader{body: r.Body, length: r.ContentLength, limit: limit, hold: &hold}).readAll()
}

func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 300 << 10
	for _, size := range []int{1, wholeBodyBytes - 1, wholeBodyBytes, wholeBodyBytes + 1, firstBodyBytes, firstBodyBytes + 1, 4 * firstBodyBytes, limit - 1, limit, limit + 1} {
		text := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			b := memquota.NewBudget(64 << 20)
			r, err := http.NewRequest(http.MethodPost, "/", iotest.HalfReader(bytes.NewReader(text)))
			require.NoError(t, err)
			r.ContentLength = length
			body, err := readRequestBody(r, limit, b)
			if length < 0 && size > limit { // one with a length is rejected before
				require.ErrorIs(t, err, errBodyTooLarge)
				continue
			}
			require.NoError(t, err, "%d, %d", size, length)
			require.Equal(t, text, body)
			require.Zero(t, b.Held())
		}
	}
}

// What is allocated follows what arrives: many clients announced 4 MiB and sent little.
func TestMemoryFollowsWhatArrives(t *testing.T) {
	for _, length := range []int64{4 << 20, -1} {
		for _, arrived := range []int64{0, 1, firstBodyBytes, 100_000, 1 << 20} {
			b := memquota.NewBudget(64 << 20)
			hold, _ := b.Open(0, bootclock.Now())
			reader := &bodyReader{body: io.LimitReader(neverEnding{}, arrived), length: length, limit: 4 << 20, hold: &hold}
			_, _ = reader.readAll()
			require.LessOrEqual(t, b.Held(), max(firstBodyBytes, 4*arrived), "%d of %d", arrived, length)
		}
	}
}

type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

func TestHeadScanFindsTheEnd(t *testing.T) {
	for text, lines := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n":                                  0,
		"GET / HTTP/1.1\r\nA: b\r\n\r\n\n\n\n\n":                  1,
		"GET / HTTP/1.1\nA: b\nC:\n\nx\n\n":                       2,
		"POST / HTTP/1.1\r\nA: b\r\nC:\r\n\r\n" + "\r\n\r\nx\r\n": 2,
	} {
		for piece := 1; piece <= len(text); piece++ {
			var s headScan
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				s.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			require.True(t, s.over, "%q in pieces of %d", text, piece)
			require.Equal(t, lines, s.headerLines(), "%q in pieces of %d", text, piece)
		}
	}
}

// FuzzCallerRequest checks what is read from callers: the scan of a head doesn't depend on how it arrives and
// counts no fewer lines than net/http finds, a body is read as by io.ReadAll, and all memory is given back.
func FuzzCallerRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"), 1)
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 7)
	f.Add([]byte("GET / HTTP/1.1\nHost: h\na:\nA: 1\n b\n\n\n"), 2)
	f.Add([]byte("POST / HTTP/1.0\r\nContent-Length: 99999\r\n\r\nshort"), 3)
	f.Add([]byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 5000))), 64)
	f.Fuzz(func(t *testing.T, raw []byte, piece int) {
		const limit = 4096
		var whole, pieces headScan
		whole.add(raw)
		piece = max(1, piece%100)
		for rest := raw; len(rest) > 0; {
			n := min(piece, len(rest))
			pieces.add(rest[:n])
			rest = rest[n:]
		}
		require.Equal(t, whole.over, pieces.over)
		require.Equal(t, whole.headerLines(), pieces.headerLines())
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
			if err != nil {
				return nil
			}
			return r
		}
		r, again := parse(), parse()
		if r == nil {
			return
		}
		lines, _ := sizeOfHead(r)
		require.True(t, whole.over, "the head has ended")
		require.LessOrEqual(t, lines, whole.headerLines())
		want, wantErr := io.ReadAll(again.Body)
		b := memquota.NewBudget(1 << 20)
		body, err := readRequestBody(r, limit, b)
		switch {
		case r.ContentLength > limit: // rejected before
		case wantErr != nil || len(want) > limit:
			require.Error(t, err)
		default:
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, body))
		}
		require.Zero(t, b.Held())
	})
}

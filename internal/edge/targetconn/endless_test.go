package targetconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playedBytes is how much a played target sends at most: far more than any bound, so that a
// test without a bound ends, too.
const playedBytes = 8 << 20

// playEndless writes start and then repeated until the connection is closed or playedBytes have
// been written, and closes it. The pipe has no buffer, so that all bytes written were read.
func playEndless(t *testing.T, start, repeated string) (conn *Conn, written <-chan int) {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = ours.Close() })
	done := make(chan int, 1)
	go func() {
		total := 0
		defer func() {
			_ = theirs.Close()
			done <- total
		}()
		for text := start; total < playedBytes; text = repeated {
			n, err := io.WriteString(theirs, text)
			total += n
			if err != nil {
				return
			}
		}
	}()
	return newConn(ours, "t@1"), done
}

var endlessHeads = map[string]struct{ start, repeated string }{
	"status line":  {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	"no line":      {"", strings.Repeat("x", 4096)},
	"header line":  {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
	"continuation": {"HTTP/1.1 200 OK\r\nA: b\r\n", " " + strings.Repeat("x", 4096) + "\r\n"},
	"header lines": {"HTTP/1.1 200 OK\r\n", strings.Repeat("A:\r\n", 1024)},
	"interim":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"long interim": {"", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", 4096) + "\r\n\r\n"},
	"switch":       {"", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	"status 0":     {"", "HTTP/1.1 000 None\r\n\r\n"},
}

func TestHeadWithoutEndIsReadUpToBound(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			conn, written := playEndless(t, c.start, c.repeated)
			observed := 0
			_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response) { observed++ })
			_ = conn.Close()
			require.ErrorIs(t, err, ErrInvalidResponse)
			require.LessOrEqual(t, <-written, maxHeadBytes+readBufferBytes)
			require.LessOrEqual(t, observed, maxInterim+1)
		})
	}
}

func TestHeadsWithinBoundAreAccepted(t *testing.T) {
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim)
	fill := maxHeadBytes - len(interim) - len("HTTP/1.1 200 OK\r\nA: \r\nContent-Length: 3\r\n\r\n")
	conn, written := playEndless(t, interim+"HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", fill)+"\r\nContent-Length: 3\r\n\r\nabc", "")
	head, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response) {})
	require.NoError(t, err)
	body, err := io.ReadAll(head.Body)
	require.NoError(t, err)
	require.Equal(t, "abc", string(body), "the bound of heads does not apply to bodies")
	_ = conn.Close()
	<-written
}

func TestResponseToAnotherRequestIsSkippedUpToBound(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r-0\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"length":     {head + "Content-Length: 1152921504606846976\r\n\r\n", strings.Repeat("x", 4096)},
		"chunks":     {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"connection": {head + "\r\n", strings.Repeat("x", 4096)},
		"responses":  {"", head + "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, written := playEndless(t, c.start, c.repeated)
			_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response) {})
			_ = conn.Close()
			require.ErrorIs(t, err, ErrInvalidResponse)
			require.LessOrEqual(t, <-written, maxHeadBytes+maxSkippedBytes+2*readBufferBytes)
		})
	}
}

func TestResponseToAnotherRequestThatTricklesIsSkippedInBoundedTime(t *testing.T) {
	ours, theirs := net.Pipe()
	go func() {
		_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\nId: r-0\r\nContent-Length: 1000\r\n\r\n")
		for range 1000 {
			if _, err := io.WriteString(theirs, "x"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		_ = theirs.Close()
	}()
	conn := newConn(ours, "t@1")
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response) {})
	require.ErrorIs(t, err, ErrInvalidResponse)
	require.Less(t, time.Since(startedAt), 2*skipTimeout)
}

// FuzzReadHead checks that no bytes make the reader of heads read beyond its bound or return an
// error of another kind.
func FuzzReadHead(f *testing.F) {
	for _, c := range endlessHeads {
		f.Add([]byte(c.start + c.repeated))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r-0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, played []byte) {
		// The fuzzed bytes are repeated until they exceed all bounds.
		const enough = maxHeadBytes + (maxMismatched+1)*(maxSkippedBytes+readBufferBytes)
		source := &countingConn{Reader: bytes.NewReader(bytes.Repeat(played, enough/max(len(played), 1)+1))}
		conn := newConn(source, "t@1")
		observed := 0
		_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response) { observed++ })
		if err != nil && !errors.Is(err, ErrInvalidResponse) && !errors.Is(err, ErrBroken) {
			t.Fatalf("error of unknown kind: %v", err)
		}
		if source.read > enough || observed > maxInterim+maxMismatched+1 {
			t.Fatalf("%d bytes and %d heads were read", source.read, observed)
		}
	})
}

// countingConn is a connection whose peer has sent the bytes of Reader.
type countingConn struct {
	net.Conn
	io.Reader
	read int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read += n
	return n, err
}

func (c *countingConn) SetReadDeadline(time.Time) error { return nil }

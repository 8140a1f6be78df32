package targetconn

import (
	"bytes"
	"errors"
	"fmt"
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
			_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response, bool) { observed++ })
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
	head, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response, bool) {})
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
			_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response, bool) {})
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
	_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response, bool) {})
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
		_, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{ID: "r-1", Method: http.MethodGet}, func(*http.Response, bool) { observed++ })
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

func TestLargeBodyIsReadOnceItsMemoryIsReserved(t *testing.T) {
	const limit, small = 1 << 20, 16 << 10
	refused := errors.New("no memory")
	for name, c := range map[string]struct {
		start, repeated string
		want            int64 // bytes that are reserved
	}{
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 4096), 100000},
		"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", limit},
		"connection": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096), limit},
	} {
		t.Run(name, func(t *testing.T) {
			conn, written := playEndless(t, c.start, c.repeated)
			head, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{Method: http.MethodGet}, func(*http.Response, bool) {})
			require.NoError(t, err)
			response := &Response{length: head.ContentLength, body: head.Body, conn: conn}
			reserved := int64(0)
			_, err = response.ReadAllReserved(limit, small, func(bytes int64) error {
				reserved = bytes
				return refused
			})
			require.ErrorIs(t, err, refused)
			require.Equal(t, c.want, reserved)
			_ = conn.Close()
			require.LessOrEqual(t, <-written, small+2*readBufferBytes)
		})
	}
}

// A body that is cut short must not look complete, whether or not its memory was reserved.
func TestBodyIsCompleteOnlyAtItsEnd(t *testing.T) {
	const limit, small = 4096, 1024
	read := func(raw string) (int, error) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\n"+raw)
			_ = theirs.Close()
		}()
		conn := newConn(ours, "t@1")
		defer func() { _ = conn.Close() }()
		head, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{Method: http.MethodGet}, func(*http.Response, bool) {})
		require.NoError(t, err)
		response := &Response{length: head.ContentLength, body: head.Body, conn: conn}
		body, err := response.ReadAllReserved(limit, small, func(int64) error { return nil })
		require.True(t, err != nil || response.bodyRead)
		return len(body), err
	}
	for _, size := range []int{0, 1, small - 1, small, small + 1, limit - 1, limit, limit + 1} {
		text := strings.Repeat("x", size)
		for name, raw := range map[string]struct {
			text     string
			complete bool
		}{
			"length":          {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, text), true},
			"length cut":      {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size+1, text), false},
			"connection":      {"\r\n" + text, true},
			"chunks":          {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", size, text, "0\r\n\r\n"), true},
			"chunks cut":      {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size+1, text), false},
			"last chunk lost": {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", max(size, 1), text), false},
		} {
			if size == 0 && strings.HasPrefix(name, "chunks") {
				continue // a chunk of no bytes is the last
			}
			got, err := read(raw.text)
			if raw.complete && size <= limit {
				require.NoError(t, err, "%s of %d bytes", name, size)
				require.Equal(t, size, got)
			} else {
				require.Error(t, err, "%s of %d bytes", name, size)
			}
		}
	}
}

func TestChunksWithoutEndOfTheirExtensionsOrTrailersAreErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, repeated string }{
		"extension":      {head + "1;a=", strings.Repeat("x", 4096)},
		"extensions":     {head, "1;a=" + strings.Repeat("x", 1024) + "\r\nx\r\n"},
		"chunk size":     {head, strings.Repeat("0", 4096)},
		"trailer":        {head + "0\r\nA: ", strings.Repeat("x", 4096)},
		"trailers":       {head + "0\r\n", "A: b\r\n"},
		"end of a chunk": {head + "1\r\nx", strings.Repeat("\r", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			conn, written := playEndless(t, c.start, c.repeated)
			head, err := newTestPool(&scriptedGate{}).readHead(conn, &Request{Method: http.MethodGet}, func(*http.Response, bool) {})
			require.NoError(t, err)
			_, err = (&Response{length: head.ContentLength, body: head.Body, conn: conn}).ReadAll(1 << 20)
			_ = conn.Close()
			require.Error(t, err)
			require.Less(t, <-written, 128<<10)
		})
	}
}

// The response to HEAD states the length of a body that it does not have.
func TestLengthOfResponseToHeadIsNoBound(t *testing.T) {
	target := startRawTarget(t, "HTTP/1.1 200 OK\r\n"+idHeader+": r-1\r\nContent-Length: 1000000\r\n\r\n")
	pool := newTestPool(&scriptedGate{})
	for range 2 {
		response, err := pool.Do(t.Context(), "a@1", target.listener.Addr().String(), &Request{ID: "r-1", Method: http.MethodHead, URI: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, err)
		body, err := response.ReadAll(1000)
		require.NoError(t, err)
		require.Empty(t, body)
		response.Close()
	}
	connections, _ := target.counts()
	require.Equal(t, 1, connections)
}

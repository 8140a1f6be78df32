package targetconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

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

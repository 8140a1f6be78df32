package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// dialCaller opens a caller's connection and writes a request's head, with further header lines.
func dialCaller(t *testing.T, h *host, route, id string, timeout time.Duration, lines string) net.Conn {
	conn, err := net.Dial("tcp", h.callerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %s%s\r\n%s: %d\r\n%s\r\n", route,
		headers.RequestID, id, headers.Credentials, headers.Bearer, apiKey, headers.Deadline, timeout.Milliseconds(), lines)
	require.NoError(t, err)
	return conn
}

func TestBodyThatTricklesEndsAtTheDeadline(t *testing.T) {
	for name, c := range map[string]struct{ lines, piece string }{
		"length": {"Content-Length: 60000\r\n", "x"},
		"chunks": {"Transfer-Encoding: chunked\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, h, targets := startPlainFleet(t, 1)
			conn := dialCaller(t, h, "hold", "r-1", 300*time.Millisecond, c.lines)
			var writing sync.WaitGroup
			writing.Go(func() {
				for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
					_, err = conn.Write([]byte(c.piece)) // fails once the host has closed the connection
				}
			})
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			answer := make([]byte, 512)
			n, err := conn.Read(answer)
			require.NoError(t, err, "the request was still read long after its deadline")
			require.Contains(t, string(answer[:n]), "HTTP/1.1 408 ", "the request has not run")
			require.Empty(t, targets[0].Requests())
			require.NoError(t, conn.Close())
			writing.Wait()
		})
	}
}

func TestAnswerThatIsNotReadEndsAfterTheDeadline(t *testing.T) {
	_, h, targets := startPlainFleet(t, 1)
	targets[0].SetHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "signed")
		for range 7 << 20 / len(standin.Filler()) {
			_, _ = w.Write([]byte(standin.Filler()))
		}
	})
	dialCaller(t, h, "hold", "r-1", 500*time.Millisecond, "Content-Length: 0\r\n")
	require.Eventually(t, func() bool { return logContains(h, "ingress: request ended") }, 4*time.Second, checkInterval)
}

package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
)

// startCutTarget starts a target whose answers end, with their connections, where the test wants.
func (f *fleet) startCutTarget(service string, answer *atomic.Value) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				text, _ := answer.Load().(string)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", r.Header.Get(headers.RequestID)))
			}()
		}
	}()
	f.register("cut", service, listener.Addr().String(), "ready")
}

// MIXED: a target ended in the middle of an answer's head, and callers got 200 with an empty body.
func TestAnswerWhoseHeadIsCutIsNoSuccess(t *testing.T) {
	t.Parallel()
	sign := headers.Signature + ": signed\r\n" + headers.RequestID + ": {id}\r\n"
	const body = "whole answer"
	for name, head := range map[string]string{
		"length":                sign + fmt.Sprintf("Content-Length: %d\r\n", len(body)),
		"no length":             sign,
		"closed":                sign + "Connection: close\r\n",
		"chunks":                sign + "Transfer-Encoding: chunked\r\n",
		"chunks and trailers":   sign + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n",
		"an empty body":         sign + "Content-Length: 0\r\n",
		"events":                sign + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
		"events without length": sign + "Content-Type: text/event-stream\r\n",
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s, %t", name, interim != ""), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.configure()
				service, route := plainService, "hold"
				if strings.HasPrefix(name, "events") {
					service, route = engineService, "draft"
				}
				var answer atomic.Value
				f.startCutTarget(service, &answer)
				h := f.startHost()
				whole := "HTTP/1.1 200 OK\r\n" + head + "\r\n"
				for cut := 0; cut < len(whole); cut += 3 {
					answer.Store(interim + whole[:cut])
					a := send(h.request(t.Context(), http.MethodPost, route, fmt.Sprintf("r-%d", cut), nil))
					require.False(t, a.err == nil && a.status/100 == 2, "cut after %q: %d %q", whole[:cut], a.status, a.body)
				}
			})
		}
	}
}

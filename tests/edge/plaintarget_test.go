package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// startPlainTarget starts and registers a target of the plain service.
func (f *fleet) startPlainTarget(id string) *standin.PlainTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	target := standin.StartPlainTarget(id, listener)
	f.t.Cleanup(target.Close)
	f.register(id, plainService, target.Address(), "ready")
	return target
}

// closeWithoutAnswer closes the connection without sending a response.
func closeWithoutAnswer(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "") }

// writeRaw writes text as the raw response and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	_ = conn.Close()
}

// writeAndReset writes text as the raw response and resets the connection.
func writeAndReset(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	standin.Reset(conn)
}

// totalRequests returns how many requests reached the targets.
func totalRequests(targets ...*standin.PlainTarget) int {
	n := 0
	for _, target := range targets {
		n += len(target.Requests())
	}
	return n
}

// startPlainFleet starts one host and n plain targets, d-1 to d-n.
func startPlainFleet(t *testing.T, n int) (*fleet, *host, []*standin.PlainTarget) {
	f := newFleet(t)
	f.configure()
	var targets []*standin.PlainTarget
	for i := range n {
		targets = append(targets, f.startPlainTarget(fmt.Sprintf("d-%d", i+1)))
	}
	return f, f.startHost(), targets
}

// startRawTarget starts and registers a plain target that speaks raw TCP: answer returns
// the bytes sent after the n-th request of a connection, counted from 0.
func (f *fleet) startRawTarget(id string, answer func(n int, r *http.Request) string) {
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
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(conn, answer(n, r)); err != nil {
						return
					}
				}
			}()
		}
	}()
	f.register(id, plainService, listener.Addr().String(), "ready")
}

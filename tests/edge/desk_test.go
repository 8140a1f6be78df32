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

func (f *fleet) desk(id string) *standin.PlainTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	d := standin.StartPlainTarget(id, listener)
	f.t.Cleanup(d.Close)
	f.register(id, desk, d.Address(), "ready")
	return d
}

// closing reads the request and closes the connection without an answer.
func closing(w http.ResponseWriter, _ *http.Request) { raw(w, "") }

// raw writes bytes as they are and closes the connection.
func raw(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	_ = conn.Close()
}

// reset breaks the connection off after some bytes.
func reset(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func total(servers ...*standin.PlainTarget) int {
	n := 0
	for _, s := range servers {
		n += len(s.Requests())
	}
	return n
}

// deskFleet starts a host before desks d-1, d-2, ...
func deskFleet(t *testing.T, n int) (*fleet, *host, []*standin.PlainTarget) {
	f := newFleet(t)
	f.configure()
	var desks []*standin.PlainTarget
	for i := range n {
		desks = append(desks, f.desk(fmt.Sprintf("d-%d", i+1)))
	}
	return f, f.start(), desks
}

// rawDesk serves connections by hand: answer returns the bytes for the n-th
// request of a connection.
func (f *fleet) rawDesk(id string, answer func(n int, r *http.Request) string) {
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
	f.register(id, desk, listener.Addr().String(), "ready")
}

package targetconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetnotice"
)

// uploadBytes is more than the sockets of a connection hold.
const uploadBytes = 8 << 20

// earlyTarget answers a request once it has read its head, and then either resets the connection or reads
// the rest of the request.
func earlyTarget(t *testing.T, answer string, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				time.Sleep(10 * time.Millisecond)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, request.Body)
			}()
		}
	}()
	return listener.Addr().String()
}

// answer sends a request with a body to a target, and reads its response after a while.
func answer(t *testing.T, address string, body int, wait time.Duration) (status int, text string, err error) {
	p := newTestPool(&scriptedGate{})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r, err := p.Do(ctx, "t@1", address, &Request{ID: "r-1", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, body), Use: targetnotice.Request})
	if err != nil {
		return 0, "", err
	}
	defer r.Close()
	time.Sleep(wait)
	read, err := r.ReadAll(1 << 20)
	return r.Status, string(read), err
}

// A part of a body without a length was taken for all of it if the connection was reset while the request
// was still being written: the error of the connection had gone to the write.
func TestBodyCutByAResetDuringTheUploadIsNotComplete(t *testing.T) {
	address := earlyTarget(t, "HTTP/1.1 200 OK\r\nId: r-1\r\n\r\npart", true)
	for i := range 20 {
		_, text, err := answer(t, address, uploadBytes, time.Duration(i%2)*30*time.Millisecond)
		require.Error(t, err, "play %d: %q", i, text)
	}
}

// An answer that comes before the upload is over is whole if something states its end.
func TestAnswerBeforeTheEndOfTheUploadIsDelivered(t *testing.T) {
	for name, head := range map[string]string{
		"too large":                "413 X\r\nContent-Length: 5\r\n\r\nwhole",
		"full":                     "503 X\r\nContent-Length: 5\r\n\r\nwhole",
		"success with a length":    "200 X\r\nContent-Length: 5\r\n\r\nwhole",
		"success in chunks":        "200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"ends with the connection": "200 X\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			status, text, err := answer(t, earlyTarget(t, "HTTP/1.1 "+strings.Replace(head, "\r\n", "\r\nId: r-1\r\n", 1), false), uploadBytes, 0)
			require.NoError(t, err)
			require.Equal(t, "whole", text)
			require.Equal(t, head[:3], strconv.Itoa(status))
		})
	}
}

// Such heads were taken for those of answers: a blank after a name hid the length of the body.
func TestHeadsThatAreNotHTTPAreNoAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                 "HTTP/1.1 000 X\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody",
		"status 099":                 "HTTP/1.1 099 X\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody",
		"status 600":                 "HTTP/1.1 600 X\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody",
		"status 999":                 "HTTP/1.1 999 X\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody",
		"sign before the status":     "HTTP/1.1 +200 X\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name":            "HTTP/1.1 200 X\r\nId: r-1\r\nX Name: a\r\nContent-Length: 4\r\n\r\nbody",
		"blank after a name":         "HTTP/1.1 200 X\r\nId: r-1\r\nX-Name : a\r\nContent-Length: 4\r\n\r\nbody",
		"blank after the length":     "HTTP/1.1 200 X\r\nId: r-1\r\nContent-Length : 4\r\n\r\nbodymore",
		"blank after the coding":     "HTTP/1.1 200 X\r\nId: r-1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"control byte in a name":     "HTTP/1.1 200 X\r\nId: r-1\r\nX\x01Name: a\r\nContent-Length: 4\r\n\r\nbody",
		"tab after a name":           "HTTP/1.1 200 X\r\nId: r-1\r\nX-Name\t: a\r\nContent-Length: 4\r\n\r\nbody",
		"control byte in a value":    "HTTP/1.1 200 X\r\nId: r-1\r\nX-Name: a\x01b\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a trailer's name":  "HTTP/1.1 200 X\r\nId: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Trail: a\r\n\r\n",
		"blank in an interim's name": "HTTP/1.1 102 X\r\nX Name: a\r\n\r\nHTTP/1.1 200 X\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, text)
			_, read, err := answer(t, target.listener.Addr().String(), 1, 0)
			require.ErrorIs(t, err, ErrInvalidResponse, "%q", read)
		})
	}
}

package outbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer accepts connections and passes each to serve, with its number from 1 on.
func peer(t *testing.T, serve func(n int32, conn net.Conn)) (address string, accepted *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted = new(atomic.Int32)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(accepted.Add(1), conn)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String(), accepted
}

func readRequest(conn net.Conn) *http.Request {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

func post(ctx context.Context, t *testing.T, address, body string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	return req
}

func TestNoListenerIsNotSentAndConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	transport := New(Dialer(""))
	defer transport.Close()
	_, err = transport.DoOnce(post(t.Context(), t, address, "x"))
	require.ErrorIs(t, err, ErrNotSent)
	require.True(t, IsConnectionRefused(err))
}

func TestConnectionClosedAfterTheRequestIsBroken(t *testing.T) {
	address, accepted := peer(t, func(_ int32, conn net.Conn) { readRequest(conn) })
	transport := New(Dialer(""))
	defer transport.Close()
	for _, body := range []string{"x", ""} {
		before := accepted.Load()
		_, err := transport.DoOnce(post(t.Context(), t, address, body))
		require.ErrorIs(t, err, ErrBroken)
		require.Equal(t, before+1, accepted.Load(), "the request was sent again")
	}
}

// The standard transport resends a request with an Idempotency-Key when a reused
// connection breaks. DoOnce must not.
func TestDoOnceIsNeverResent(t *testing.T) {
	var requests atomic.Int32
	address, _ := peer(t, func(n int32, conn net.Conn) {
		if readRequest(conn) == nil {
			return
		}
		requests.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if n == 1 && readRequest(conn) != nil {
			requests.Add(1) // read, then closed without an answer
		}
	})
	transport := New(Dialer(""))
	defer transport.Close()
	for range 2 {
		resp, err := transport.DoOnce(post(t.Context(), t, address, ""))
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	require.EqualValues(t, 2, requests.Load())
}

func TestNoByteIsSentAfterErrNotSent(t *testing.T) {
	got := make(chan int, 1)
	address, _ := peer(t, func(_ int32, conn net.Conn) {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, _ := io.Copy(io.Discard, conn)
		got <- int(n)
	})
	transport := New(Dialer(""))
	defer transport.Close()
	ctx, cancel := context.WithCancel(t.Context())
	req := post(ctx, t, address, "x")
	dialed := make(chan struct{})
	transport.fresh.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := countBytes(Dialer(""))(ctx, network, addr)
		cancel() // the caller cancels before the first byte
		close(dialed)
		return conn, err
	}
	_, err := transport.DoOnce(req)
	<-dialed
	transport.Close()
	if errors.Is(err, ErrNotSent) {
		require.Zero(t, <-got, "bytes were sent although the error was ErrNotSent")
	} else {
		require.ErrorIs(t, err, ErrBroken)
	}
}

func TestCloseAndCountStopsWrites(t *testing.T) {
	address, _ := peer(t, func(_ int32, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	conn, err := countBytes(Dialer(""))(t.Context(), "tcp", address)
	require.NoError(t, err)
	counting := conn.(*countingConn)
	_, err = counting.Write([]byte("abc"))
	require.NoError(t, err)
	require.EqualValues(t, 3, counting.closeAndCount())
	_, err = counting.Write([]byte("d"))
	require.ErrorIs(t, err, errConnClosed)
	require.EqualValues(t, 3, counting.count())
}

// A target wrote an earlier rejection once more on a kept connection, and callers were told that what it ran
// had not run.
func TestEarlierRejectionIsNoAnswerToALaterRequest(t *testing.T) {
	const rejected, served = "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, body := range map[string]string{"short body": "x", "long body": strings.Repeat("x", 2*bufferBytes)} {
		t.Run(name, func(t *testing.T) {
			address, _ := peer(t, func(n int32, conn net.Conn) {
				if readRequest(conn) == nil {
					return
				}
				if n > 1 {
					_, _ = io.WriteString(conn, served)
					return
				}
				_, _ = io.WriteString(conn, rejected)
				if readRequest(conn) != nil {
					_, _ = io.WriteString(conn, rejected+served)
				}
			})
			transport := New(Dialer(""))
			defer transport.Close()
			for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
				resp, err := transport.Do(post(t.Context(), t, address, body))
				require.NoError(t, err)
				text, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, want, resp.StatusCode, string(text))
			}
		})
	}
}

// A request used the connection of a rejection that was not closed yet, or failed if its body was long, instead
// of being sent on another connection.
func TestRequestBesideAReadRejectionGoesOutOnAnotherConnection(t *testing.T) {
	short, long := "x", strings.Repeat("x", 2*bufferBytes)
	for name, bodies := range map[string][]string{"short, short": {short, short}, "short, long": {short, long}, "long, short": {long, short}, "long, long": {long, long}} {
		for text, rejected := range map[string]string{"text": "503 X\r\nContent-Length: 2\r\n\r\nno", "no text": "503 X\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(name+", "+text, func(t *testing.T) {
				address, accepted := peer(t, func(n int32, conn net.Conn) {
					for readRequest(conn) != nil {
						answer := "200 OK\r\nContent-Length: 0\r\n\r\n"
						if n == 1 {
							answer = rejected
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 "+answer)
					}
				})
				transport := New(Dialer(""))
				defer transport.Close()
				for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
					resp, err := transport.Do(post(t.Context(), t, address, bodies[min(i, 1)]))
					require.NoError(t, err)
					defer resp.Body.Close()
					_, err = io.Copy(io.Discard, resp.Body)
					require.NoError(t, err)
					require.Equal(t, want, resp.StatusCode)
				}
				require.EqualValues(t, 2, accepted.Load(), "a connection of a success is used again")
			})
		}
	}
}

// The pool gets a connection before it is known here that its response, one without a body, was a rejection.
func TestConnectionIsNotUsedAgainBeforeItsResponseIsKnown(t *testing.T) {
	address, _ := peer(t, func(_ int32, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	conn, err := countBytes(Dialer(""))(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	first, second, third := &connTracker{}, &connTracker{}, &connTracker{}
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err = conn.Write([]byte("abc"))
	require.NoError(t, err)
	first.current().release()
	second.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	_, err = conn.Write([]byte("d"))
	require.NoError(t, err)
	third.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	_, err = conn.Write([]byte("e"))
	require.ErrorIs(t, err, errConnClosed)
	require.False(t, third.bytesSent())
	require.True(t, second.bytesSent())
}

// Such responses were passed on: net/http accepts them.
func TestResponsesThatAreNotHTTPAreBroken(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "000 X\r\nContent-Length: 4",
		"status 999":             "999 X\r\nContent-Length: 4",
		"blank in a name":        "200 X\r\nX Name: a\r\nContent-Length: 4",
		"blank after the length": "200 X\r\nContent-Length : 4",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := peer(t, func(_ int32, conn net.Conn) {
				if readRequest(conn) != nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+head+"\r\n\r\nbody")
				}
			})
			transport := New(Dialer(""))
			defer transport.Close()
			_, err := transport.DoOnce(post(t.Context(), t, address, "x"))
			require.ErrorIs(t, err, ErrBroken)
		})
	}
}

// A part of a body without a length was taken for all of it if the connection was reset during the upload.
func TestBodyCutByAResetDuringTheUploadIsNotComplete(t *testing.T) {
	upload := strings.Repeat("x", 8<<20) // more than the sockets hold
	address, _ := peer(t, func(_ int32, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(10 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	transport := New(Dialer(""))
	defer transport.Close()
	for i := range 10 {
		resp, err := transport.DoOnce(post(t.Context(), t, address, upload))
		if err != nil {
			continue
		}
		time.Sleep(time.Duration(i%2) * 30 * time.Millisecond)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		require.Error(t, err, "play %d: %q", i, text)
	}
}

// Package outbound sends HTTP requests to targets and determines, when one fails,
// whether any byte of it was sent.
//
// The standard transport resends a request on its own when a reused connection breaks
// and the request looks idempotent to it; this includes a POST that carries an
// Idempotency-Key. DoOnce therefore uses a new connection for each request and a body
// that can't be read twice.
package outbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/httpanswer"
)

// Sentinel errors of Do and DoOnce. Test with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent and none will be.
	ErrNotSent = eris.New("outbound: no byte of the request was sent; another target may be tried")
	// ErrBroken means that bytes were sent and no answer came, so the target may have
	// executed the request.
	ErrBroken = eris.New("outbound: no answer after bytes of the request were sent; the target may have executed it")
)

const (
	// dialTimeout bounds the wait for a connection to a target. The round trip to a
	// target takes a few milliseconds, so a slower one counts as unreachable.
	dialTimeout = 1 * time.Second
	// idleTimeout closes idle connections before targets usually do.
	idleTimeout = 30 * time.Second
	// maxIdlePerTarget bounds the idle connections to a target. It suffices for the
	// requests that run concurrently on one.
	maxIdlePerTarget = 64
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 16 << 10
)

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	pooled *http.Transport // reuses connections
	fresh  *http.Transport // one connection per request
}

// DialFunc opens a connection to ip:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc whose connections have a local IP address, or one that the system
// chooses if localIP is "".
func Dialer(localIP string) DialFunc {
	d := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.DialContext
}

// New returns a Transport that connects with dial.
func New(dial DialFunc) *Transport {
	return &Transport{pooled: newTransport(dial, false), fresh: newTransport(dial, true)}
}

// Do sends an idempotent request over a pooled connection. The transport may resend it.
// Errors are a *SendError.
func (t *Transport) Do(req *http.Request) (*http.Response, error) { return send(t.pooled, req) }

// DoOnce sends a non-idempotent request at most once, over a connection of its own.
// Errors are a *SendError.
func (t *Transport) DoOnce(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	if req.Body == nil {
		req.Body = http.NoBody
	}
	req.Body = &nonRewindableBody{ReadCloser: req.Body}
	return send(t.fresh, req)
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

func newTransport(dial DialFunc, fresh bool) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            countBytes(dial),
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

// countBytes returns a DialFunc whose connections are of type *countingConn.
func countBytes(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// connTracker follows the connections of one request and whether bytes of the request
// were sent on any of them.
type connTracker struct {
	mu            sync.Mutex
	conn          *countingConn // guarded by mu
	writtenBefore int64         // guarded by mu; bytes written before the request
	sent          bool          // guarded by mu; whether bytes were sent on an earlier connection
}

// gotConn is called when the request is assigned a connection. It closes the previous
// one.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.closeAndCount() > t.writtenBefore {
		t.sent = true
	}
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn == nil {
		t.sent = true // not a countingConn: bytes may have been sent
		return
	}
	t.writtenBefore = t.conn.claim()
}

// current returns the connection of the request, nil if that is not known.
func (t *connTracker) current() *countingConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn
}

// bytesSent closes the connection and reports whether bytes of the request were sent.
func (t *connTracker) bytesSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.closeAndCount() > t.writtenBefore {
		t.sent = true
	}
	return t.sent
}

func send(t *http.Transport, req *http.Request) (*http.Response, error) {
	tracker := &connTracker{}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	ctx, upload := httpanswer.Trace(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := roundTrip(t, req.WithContext(ctx), tracker)
	if err == nil {
		// A faulty target may write a rejection once more, which would be taken for the answer to a later
		// request: the connection is not used again.
		if conn := tracker.current(); conn != nil && resp.StatusCode < http.StatusBadRequest {
			conn.release()
		}
		if err = httpanswer.Check(resp, upload()); err == nil {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
	return nil, &SendError{BytesSent: tracker.bytesSent(), Cause: err}
}

// roundTrip sends a request on another connection if the one from the pool refused it. The standard transport
// does so itself unless the body is longer than its buffer: it takes the failed write for a failed read of the
// body then.
func roundTrip(t *http.Transport, req *http.Request, tracker *connTracker) (*http.Response, error) {
	resp, err := t.RoundTrip(req)
	for range maxIdlePerTarget {
		if !errors.Is(err, errConnClosed) || req.GetBody == nil || tracker.bytesSent() {
			break
		}
		again := req.WithContext(req.Context())
		if again.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
		resp, err = t.RoundTrip(again)
	}
	return resp, err
}

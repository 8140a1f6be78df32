// Package outbound sends HTTP requests to targets and proves, when one fails,
// whether any byte of it has left this process.
//
// The standard transport resends a request by itself when a reused connection
// breaks and the request looks idempotent to it, also for a POST that carries an
// Idempotency-Key. Once requests therefore run on a fresh connection and with a
// body that cannot be read twice.
package outbound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Sentinel errors of Do and DoOnce. Test with errors.Is.
var (
	// ErrNotSent means that no byte of the request has left and none will.
	ErrNotSent = eris.New("outbound: no byte of the request left; another target may be tried")
	// ErrBroken means that bytes left and no answer came, so the target may have
	// executed the request.
	ErrBroken = eris.New("outbound: no answer after bytes of the request left; the target may have executed it")
)

const (
	// dialTimeout bounds the wait for a connection to a target. Targets are a few
	// milliseconds away, so a slower one counts as not reachable.
	dialTimeout = 1 * time.Second
	// idleTimeout closes unused connections before targets usually do.
	idleTimeout = 30 * time.Second
	// idlePerTarget keeps connections for the requests that run at once on a target.
	idlePerTarget = 64
	// headerLimit bounds the header of an answer, in bytes.
	headerLimit = 64 << 10
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 16 << 10
)

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	pooled *http.Transport // reuses connections
	fresh  *http.Transport // one connection a request
}

// New returns a Transport.
func New() *Transport {
	return &Transport{pooled: newTransport(false), fresh: newTransport(true)}
}

// Do sends an idempotent request over a pooled connection.
func (t *Transport) Do(req *http.Request) (*http.Response, error) { return send(t.pooled, req) }

// DoOnce sends a request that may not be repeated, on a connection of its own.
func (t *Transport) DoOnce(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	if req.Body == nil {
		req.Body = http.NoBody
	}
	req.Body = &onceBody{ReadCloser: req.Body}
	return send(t.fresh, req)
}

// Close drops the idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

// usedConn remembers the connection that a request was given last.
type usedConn struct {
	mu    sync.Mutex
	conn  *guardedConn // guarded by mu
	start int64        // guarded by mu; bytes written before the request
	left  bool         // guarded by mu; bytes left on an earlier connection
}

func (u *usedConn) got(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.seal() > u.start {
		u.left = true
	}
	u.conn, _ = info.Conn.(*guardedConn)
	if u.conn == nil {
		u.left = true // an unknown connection proves nothing
		return
	}
	u.start = u.conn.count()
}

// bytesLeft seals the connection and tells whether bytes of the request left.
func (u *usedConn) bytesLeft() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil && u.conn.seal() > u.start {
		u.left = true
	}
	return u.left
}

func send(t *http.Transport, req *http.Request) (*http.Response, error) {
	used := &usedConn{}
	trace := &httptrace.ClientTrace{GotConn: used.got}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	return nil, &SendError{BytesSent: used.bytesLeft(), Cause: err}
}

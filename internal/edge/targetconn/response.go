package targetconn

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is the head of a response with the reader of its body. Close must be
// called once.
type Response struct {
	Status            int
	Header            http.Header
	ConnectionClosing bool // the target closes the connection after this response
	Delimited         bool // the body has a length or chunks, so that its end does not depend on the connection
	body              io.ReadCloser
	conn              *Conn
	pool              *Pool
	detach            func() bool   // detaches the request's context from the connection
	written           chan struct{} // closed when the request has been written; nil if it was written inline
	bodyRead          bool          // the body was read to its end
	reusable          bool
}

// Read reads the body. It returns io.EOF only after the whole body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.bodyRead = true
	}
	return n, err
}

// Close returns the connection to the pool after a complete response and closes it
// otherwise.
func (r *Response) Close() {
	detached := r.detach()
	if detached && r.bodyRead && r.reusable && r.requestSent() {
		r.pool.put(r.conn)
		return
	}
	_ = r.conn.Close()
}

// requestSent reports whether the whole request has been written: remaining bytes
// would be read by the target as part of the next request.
func (r *Response) requestSent() bool {
	if r.written == nil {
		return true
	}
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}

// idleTimeout returns how long the target keeps an idle connection open.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

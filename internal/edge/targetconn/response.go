package targetconn

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/httpanswer"
)

const (
	// maxDiscardBytes and discardTimeout bound what is read of a body that nobody needs, so
	// that its connection can be used again.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
)

// Response is the head of a response with the reader of its body. Close must be
// called once.
type Response struct {
	Status            int
	Header            http.Header
	Helper            string // address of the host that passes the response on; "" if it comes from the target
	ConnectionClosing bool   // the target closes the connection after this response
	Delimited         bool   // the body has a length or chunks, so that its end does not depend on the connection
	length            int64  // of the body, -1 if the target does not state it
	body              io.ReadCloser
	conn              *Conn
	pool              *Pool
	detach            func() bool        // detaches the request's context from the connection
	upload            *httpanswer.Upload // of the request
	bodyRead          bool               // the body was read to its end
	reusable          bool
	direct            bool // from the target, not by way of another host
	contact           *contact
}

// Read reads the body. It returns io.EOF only after the whole body.
func (r *Response) Read(p []byte) (int, error) {
	began := time.Since(clockStart)
	n, err := r.body.Read(p)
	r.contact.noteRead(began, n)
	if n > 0 && r.direct {
		r.pool.progress.received()
	}
	switch {
	case err == io.EOF:
		r.bodyRead = true
	case errors.Is(err, httpanswer.ErrNotHTTP):
		err = eris.Wrap(ErrInvalidResponse, err.Error())
	}
	return n, err
}

// ReadAll reads the rest of the body. If it exceeds limit bytes, the error matches
// ErrInvalidResponse.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	if r.length > limit {
		return nil, bodyTooLarge(r.length, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, bodyTooLarge(int64(len(body)), limit)
	}
	return body, nil
}

// ReadAllReserved is ReadAll, but calls reserve with the memory in bytes that the body may need
// before more than small bytes of it are held. If that fails, so does the read.
func (r *Response) ReadAllReserved(limit, small int64, reserve func(bytes int64) error) ([]byte, error) {
	if r.length > limit {
		return nil, bodyTooLarge(r.length, limit)
	}
	var start []byte
	if r.length <= small { // with a greater length nothing is read before
		var err error
		if start, err = io.ReadAll(io.LimitReader(r, small+1)); err != nil || int64(len(start)) <= small {
			return start, err
		}
	}
	size := limit
	if r.length >= 0 {
		size = r.length
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, size+1) // one more shows that the body ends or exceeds limit
	n := copy(body, start)
	for int64(n) <= size {
		read, err := r.Read(body[n:])
		n += read
		if err == io.EOF && int64(n) <= size {
			return body[:n], nil
		}
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	return nil, bodyTooLarge(int64(n), limit)
}

func bodyTooLarge(bytes, limit int64) error {
	return eris.Wrapf(ErrInvalidResponse, "body of %d bytes or more exceeds %d bytes", bytes, limit)
}

// ReadAllWithin is ReadAll for a body that must arrive within d.
func (r *Response) ReadAllWithin(limit int64, d time.Duration) ([]byte, error) {
	stop := r.conn.endReadsAfter(d)
	body, err := r.ReadAll(limit)
	if !stop() {
		r.reusable = false
	}
	return body, err
}

// Discard closes a response whose body is not needed. A short body is read first, which allows
// to use the connection again.
func (r *Response) Discard() {
	_, _ = r.ReadAllWithin(maxDiscardBytes, discardTimeout)
	r.Close()
}

// DoNotReuse makes Close close the connection, since the response belongs to another request.
func (r *Response) DoNotReuse() { r.reusable = false }

// Close returns the connection to the pool after a complete response and closes it
// otherwise.
func (r *Response) Close() {
	detached := r.detach()
	if detached && r.bodyRead && r.reusable && r.upload.Sent() { // what is not sent would be read as part of the next request
		r.pool.put(r.conn)
		return
	}
	_ = r.conn.Close()
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

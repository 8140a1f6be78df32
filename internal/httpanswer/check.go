// Package httpanswer rejects responses that net/http accepts although they are not HTTP, and bodies
// that look complete although they were cut.
package httpanswer

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrNotHTTP means that a response has a status or a field that HTTP doesn't have.
var ErrNotHTTP = eris.New("response: not HTTP; nothing of it may be passed on")

const (
	minStatus = 100
	maxStatus = 599 // RFC 9110, section 15
)

// CheckHead returns an error that matches ErrNotHTTP if the head of a response has an impossible status, or
// a field whose name or value holds bytes that may not be there. net/http accepts names with blanks: a length
// with a blank behind its name is then an unknown field, and the body ends somewhere else.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return eris.Wrapf(ErrNotHTTP, "status %d", r.StatusCode)
	}
	return checkFields(r.Header)
}

func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrNotHTTP, "field name %.64q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return eris.Wrapf(ErrNotHTTP, "value %.64q of field %s", value, name)
			}
		}
	}
	return nil
}

// Check is CheckHead, and makes the body fail instead of ending if it is not complete. u is the request's
// upload.
func Check(r *http.Response, u *Upload) error {
	if err := CheckHead(r); err != nil {
		return err
	}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, response: r, upload: u, delimited: r.ContentLength >= 0 || len(r.TransferEncoding) > 0}
	}
	return nil
}

// body reads the body of a response.
type body struct {
	io.ReadCloser
	response  *http.Response
	upload    *Upload
	delimited bool // a length or chunks state its end
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.delimited && !b.upload.await() {
		return n, io.ErrUnexpectedEOF
	}
	if err := checkFields(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}

package targetconn

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is what goes to a target.
type Request struct {
	ID     string // that the answer must echo, "" for control calls
	Method string
	URI    string // as the caller sent it, byte for byte
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the request in one piece, so that it leaves in one write.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer never fails
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// headBytes is the usual size of a request's head, to allocate once.
const typicalHeadBytes = 768

package outbound

import (
	"io"
	"net/http"
)

// nonRewindableBody hides the type of the body from the transport, which then can't
// send the request again.
type nonRewindableBody struct{ io.ReadCloser }

// closingBody closes the connection with the body.
type closingBody struct {
	io.ReadCloser
	conn *countingConn
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.conn.closeAndCount()
	return err
}

// retire keeps later requests off the connection of a response that is not a success: a faulty target may write
// it once more, where it would be taken for the answer to another request.
func retire(conn *countingConn, req *http.Request, resp *http.Response) {
	switch {
	case conn == nil || resp.StatusCode < http.StatusBadRequest:
	case req.ContentLength >= 0 && req.ContentLength < bufferBytes/2: // written with its head
		conn.stopWrites()
	default:
		resp.Body = &closingBody{resp.Body, conn}
	}
}

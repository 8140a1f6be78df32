package plain

import (
	"errors"
	"io"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

// result is the outcome of one send.
type result int

const (
	answered       result = iota // complete response of the target
	failed                       // complete response with a server error
	rejected                     // the target states that it did not run the request
	unsent                       // no byte of the request was sent
	broken                       // sent, but no complete response arrived
	keyUnconfirmed               // the API key could not be confirmed; nothing was sent
	held                         // targets crashed under calls like it; nothing was sent
)

func (r result) String() string {
	return [...]string{edge.OutcomeAnswered, "failed", "rejected", "not_sent", "broken", "key_unconfirmed", "held"}[r]
}

// outcome is the result of one send with the target's response.
type outcome struct {
	result result
	target *targets.Target
	status int
	header http.Header
	body   []byte
	took   time.Duration
	err    error
	// endsWithConnection reports whether the connection ended with the response.
	endsWithConnection bool
}

// maxBodyBytes bounds a response, which is buffered until it is complete.
const maxBodyBytes = 8 << 20

// readResponse reads the whole body of a response and classifies it.
func (s *Server) readResponse(response *targetconn.Response) outcome {
	defer response.Close()
	o := outcome{status: response.Status, header: response.Header, endsWithConnection: response.ConnectionClosing}
	body, err := io.ReadAll(io.LimitReader(response, maxBodyBytes+1))
	switch {
	case err != nil:
		o.result, o.err = broken, err
	case len(body) > maxBodyBytes:
		o.result, o.err = broken, errTooLong
	case s.Sender.Wire.NotExecuted(response.Status, response.Header):
		o.result = rejected
	case !s.Sender.Wire.Signed(response.Header):
		o.result, o.err = broken, errUnsigned
	case response.Header.Get("Content-Encoding") != "":
		o.result, o.err = broken, errEncoded
	case response.Status >= http.StatusInternalServerError:
		o.result = failed
	}
	o.body = body
	return o
}

var (
	errTooLong  = errors.New("response exceeds 8 MiB")
	errUnsigned = errors.New("response lacks the target's signature")
	errEncoded  = errors.New("response has a Content-Encoding, which was not requested")
)

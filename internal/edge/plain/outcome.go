package plain

import (
	"errors"
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
)

func (r result) String() string {
	return [...]string{edge.OutcomeAnswered, "failed", "rejected", "not_sent", "broken", "key_unconfirmed"}[r]
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
}

// maxBodyBytes bounds a response, which is buffered until it is complete.
const maxBodyBytes = 8 << 20

// readResponse classifies a response by its head and reads the body of one that may be passed
// on to the caller.
func (s *Server) readResponse(response *targetconn.Response) outcome {
	o := outcome{status: response.Status, header: response.Header}
	switch {
	case s.Sender.Wire.NotExecuted(response.Status, response.Header):
		o.result = rejected
	case !s.Sender.Wire.Signed(response.Header):
		o.result, o.err = broken, errUnsigned
	case response.Header.Get("Content-Encoding") != "":
		o.result, o.err = broken, errEncoded
	default:
		readBody(response, &o)
		return o
	}
	response.Discard()
	return o
}

// readBody reads the body of a response into the outcome of its send.
func readBody(response *targetconn.Response, o *outcome) {
	defer response.Close()
	body, err := response.ReadAll(maxBodyBytes)
	switch {
	case err != nil:
		o.result, o.err = broken, err
	case response.Status >= http.StatusInternalServerError:
		o.result = failed
	}
	o.body = body
}

var (
	errUnsigned = errors.New("response lacks the target's signature")
	errEncoded  = errors.New("response has a Content-Encoding, which was not requested")
)

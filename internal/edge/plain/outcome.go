package plain

import (
	"errors"
	"io"
	"net/http"
	"time"

	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

// result tells what came of one send.
type result int

const (
	answered       result = iota // the target's whole answer
	failed                       // the target's whole answer, which is a failure of its own
	rejected                     // the target states that it did not run the request
	unsent                       // nothing left this host
	broken                       // sent, and no whole answer
	keyUnconfirmed               // the API key is not confirmed any more; nothing left
)

func (r result) String() string {
	return [...]string{"answered", "failed", "rejected", "not_sent", "broken", "key_unconfirmed"}[r]
}

// outcome is the end of one send.
type outcome struct {
	result result
	target *targets.Target
	status int
	header http.Header
	body   []byte
	took   time.Duration
	err    error
}

// maxBodyBytes bounds an answer that is held until it is whole.
const maxBodyBytes = 8 << 20

// read judges an answer and reads its whole body.
func (s *Server) readResponse(response *targetconn.Response) outcome {
	defer response.Close()
	o := outcome{status: response.Status, header: response.Header}
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
	errTooLong  = errors.New("the answer exceeds 8 MiB")
	errUnsigned = errors.New("the answer lacks the target's signature")
	errEncoded  = errors.New("the answer is encoded, which nobody asked for")
)

package plain

import (
	"context"
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
	// crashEvidence reports whether the target may have crashed under the call.
	crashEvidence bool
}

const (
	// maxBodyBytes bounds a response, which is buffered until it is complete.
	maxBodyBytes = 8 << 20
	// smallBodyBytes is how much of a response is buffered without a share of LargeBodies. With 256 KiB,
	// 480 callers that read slowly ended a host of 112 MB.
	smallBodyBytes = 32 << 10
)

// readResponse classifies a response by its head and reads the body of one that may be passed
// on to the caller. The end of served is the end of the call, which needs the body until then.
func (s *Server) readResponse(ctx, served context.Context, account string, response *targetconn.Response) outcome {
	o := outcome{status: response.Status, header: response.Header, endsWithConnection: response.ConnectionClosing}
	switch {
	case s.Sender.Wire.NotExecuted(response.Status, response.Header):
		o.result = rejected
	case !s.Sender.Wire.Signed(response.Header):
		o.result, o.err = broken, errUnsigned
	case response.Header.Get("Content-Encoding") != "":
		o.result, o.err = broken, errEncoded
	default:
		s.readBody(ctx, served, account, response, &o)
		return o
	}
	response.Discard()
	return o
}

// readBody reads the body of a response into the outcome of its send.
func (s *Server) readBody(ctx, served context.Context, account string, response *targetconn.Response, o *outcome) {
	defer response.Close()
	if response.Status >= http.StatusInternalServerError {
		account = "" // a call that is sent again would wait for what its failed answer holds
	}
	var giveBack func()
	body, err := response.ReadAllReserved(maxBodyBytes, smallBodyBytes, func(bytes int64) error {
		var err error
		if giveBack, err = s.LargeBodies.TakeFor(ctx, account, bytes); err != nil {
			return errors.Join(errNoMemory, err)
		}
		return nil
	})
	switch {
	case giveBack == nil:
		if held := int64(len(body)); err == nil && held > 0 {
			s.Memory.Charge(held)
			context.AfterFunc(served, func() { s.Memory.Charge(-held) })
		}
	case err != nil:
		giveBack()
	default:
		context.AfterFunc(served, giveBack)
	}
	switch {
	case err != nil:
		o.result, o.err = broken, err
	case response.Status >= http.StatusInternalServerError:
		o.result = failed
	}
	o.body = body
}

var (
	errNoMemory = errors.New("no memory was free for a large response")
	errUnsigned = errors.New("response lacks the target's signature")
	errEncoded  = errors.New("response has a Content-Encoding, which was not requested")
)

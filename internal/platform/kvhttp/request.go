package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvwire"
)

// request is one call of the store.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	writes bool // whether the call changes the store
}

// build returns the HTTP request and a mark that is set when a connection has
// been obtained, after which the store may have received the call.
func (r request) build(ctx context.Context, base string) (*atomic.Bool, *http.Request, error) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	address := base + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	built, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, address, bytes.NewReader(r.body))
	return sent, built, err
}

// failed returns the error of a call without a whole answer.
func (r request) failed(sent bool, cause error) error {
	if r.writes && sent {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// refused returns the error that the store answered with.
func (r request) refused(status int, body []byte) error {
	var failure kvwire.ErrorReply
	if err := json.Unmarshal(body, &failure); err != nil {
		return r.failed(true, fmt.Errorf("status %d without a reason: %w", status, err))
	}
	for _, m := range kvwire.ErrorMappings() {
		if m.Code == failure.Code {
			return m.Err
		}
	}
	if failure.Code == kvwire.CodeBadRequest {
		return fmt.Errorf("store refused the call: %s", failure.Message)
	}
	return r.failed(true, fmt.Errorf("status %d, code %q: %s", status, failure.Code, failure.Message))
}

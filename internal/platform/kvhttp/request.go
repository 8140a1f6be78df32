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

// request is one call to the store.
type request struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	isWrite bool // whether the call changes the store
}

// newHTTPRequest returns the HTTP request and a flag that is set when a connection
// has been obtained, after which the store may receive the call.
func (r request) newHTTPRequest(ctx context.Context, base string) (*atomic.Bool, *http.Request, error) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	address := base + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, address, bytes.NewReader(r.body))
	return sent, httpRequest, err
}

// transportError returns the error of a call without a complete, valid response.
func (r request) transportError(sent bool, cause error) error {
	if r.isWrite && sent {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// responseError returns the error that the store responded with.
func (r request) responseError(status int, body []byte) error {
	var reply kvwire.ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return r.transportError(true, fmt.Errorf("response with status %d has no valid error: %w", status, err))
	}
	for _, mapping := range kvwire.ErrorMappings() {
		if mapping.Code == reply.Code {
			return mapping.Err
		}
	}
	if reply.Code == kvwire.CodeBadRequest {
		return fmt.Errorf("store: invalid call: %s", reply.Message)
	}
	return r.transportError(true, fmt.Errorf("status %d, code %q: %s", status, reply.Code, reply.Message))
}

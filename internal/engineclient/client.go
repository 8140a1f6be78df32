// Package engineclient starts, attaches to and cancels generations on a model engine
// with the protocol of api/engine.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/outbound"
)

// maxProblemBytes bounds the problem document that an engine sends.
const maxProblemBytes = 64 << 10

// Client sends requests to engines. It is safe for concurrent use.
type Client struct{ transport *outbound.Transport }

// New returns a Client that sends through the transport.
func New(transport *outbound.Transport) *Client { return &Client{transport: transport} }

// Start starts the generation on the engine at address (ip:port), or attaches to it if
// the engine runs it already. The caller must close the stream.
func (c *Client) Start(ctx context.Context, address string, request engine.GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return c.open(ctx, http.MethodPost, "http://"+address+"/v1/generations", body)
}

// Attach streams a generation of the engine from a token offset on. The caller must
// close the stream.
func (c *Client) Attach(ctx context.Context, address, generation string, offset int) (*Stream, error) {
	target := "http://" + address + "/v1/generations/" + url.PathEscape(generation) + "?offset=" + strconv.Itoa(offset)
	return c.open(ctx, http.MethodGet, target, nil)
}

// Cancel cancels a generation. It returns nil if the engine does not know the
// generation.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	target := "http://" + address + "/v1/generations/" + url.PathEscape(generation)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.transport.Do(req)
	if err != nil {
		return &SendError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotFound {
		return nil
	}
	return responseError(resp)
}

// open sends a request and returns the event stream of its response.
func (c *Client) open(ctx context.Context, method, target string, body []byte) (*Stream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(streamCtx, method, target, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	req.Header.Set("Accept", "text/event-stream")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.transport.Do(req)
	if err != nil {
		cancel()
		return nil, &SendError{Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, responseError(resp)
	}
	return newStream(resp.Body, cancel), nil
}

// isFailureStatus reports whether a status is one of HTTP's failures. It reaches the
// caller's response, where a status that HTTP does not know ends the handler.
func isFailureStatus(status int) bool { return status >= http.StatusBadRequest && status < 600 }

// responseError returns the typed error for a response other than success.
func responseError(resp *http.Response) error {
	var document problem.Document
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err := json.Unmarshal(body, &document); err != nil || document.Kind == "" {
		return eris.Wrapf(ErrProtocol, "status %d without a problem document", resp.StatusCode)
	}
	failure := problem.FromDocument(document)
	if !isFailureStatus(failure.Status) {
		failure.Status = resp.StatusCode
	}
	if !isFailureStatus(failure.Status) {
		failure.Status = http.StatusBadGateway
	}
	switch {
	case resp.StatusCode == http.StatusNotFound && failure.Kind == problem.KindNotFound:
		return eris.Wrap(ErrUnknownGeneration, failure.Detail)
	case failure.Ran == problem.RanNo:
		return &RejectedError{Problem: failure}
	default:
		return &FailedError{Problem: failure}
	}
}

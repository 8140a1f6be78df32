package httpanswer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport checks the responses of another one.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, upload := Trace(r.Context())
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response, upload()); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// Trace returns a context for a request that net/http sends, and a function that returns its upload
// once the head of the response is there.
func Trace(ctx context.Context) (context.Context, func() *Upload) {
	var current atomic.Pointer[Upload] // net/http may send a request on a second connection
	current.Store(NewUpload())
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { current.Store(NewUpload()) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { current.Load().End(info.Err) },
	}
	return httptrace.WithClientTrace(ctx, trace), current.Load
}

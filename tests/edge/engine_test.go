package edge_test

import (
	"context"
	"net"
	"net/http"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// startEngine starts and registers a stand-in engine.
func (f *fleet) startEngine(set *standin.Engines, id string) *standin.Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	e := set.Start(id, listener)
	f.t.Cleanup(e.Crash)
	f.register(id, engineService, e.Address(), "ready")
	return e
}

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// generationRequest builds a request for a generation of the given number of events.
func generationRequest(ctx context.Context, h *host, id string, events int) *http.Request {
	r := h.request(ctx, http.MethodPost, "draft", id, []byte("prompt"))
	(&standin.Call{ID: id, APIKey: apiKey, Timeout: callerTimeout, Events: events}).SetHeaders(r)
	return r
}

package edge_test

import (
	"context"
	"net"
	"net/http"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

func (f *fleet) engine(set *standin.Engines, id string) *standin.Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	e := set.Start(id, listener)
	f.t.Cleanup(e.Crash)
	f.register(id, engines, e.Address(), "ready")
	return e
}

// closedAddress is one where nothing listens.
func closedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func draft(ctx context.Context, h *host, id string, events int) *http.Request {
	r := h.request(ctx, http.MethodPost, "draft", id, []byte("prompt"))
	(&standin.Call{ID: id, APIKey: key, Timeout: patience, Events: events}).SetHeaders(r)
	return r
}

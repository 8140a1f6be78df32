package targetconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestIsSentAfterItsCallerLeft(t *testing.T) {
	var reached atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	pool := newTestPool(&scriptedGate{})
	address := server.Listener.Addr().String()
	request := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	response, err := pool.Do(t.Context(), "t", address, request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response)
	require.NoError(t, err)
	response.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Do(ctx, "t", address, request)
	require.ErrorIs(t, err, ErrNotSent)
	server.Close() // waits for requests
	require.EqualValues(t, 1, reached.Load())
}

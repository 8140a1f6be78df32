package ingress_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/ingress"
)

func TestRequestThatIsReadAfterTheServerBeganToCloseIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections := ingress.NewOpenConnections(listener, func(net.Conn, http.ConnState) {})
	accepted := make(chan struct{}, 2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			connections.ConnState(c, state)
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	<-accepted
	drained := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained <- connections.Drain(ctx, server)
	}()
	require.Eventually(t, func() bool {
		other, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	}, 5*time.Second, 5*time.Millisecond)
	_, err = connection.Write([]byte(strings.ReplaceAll("GET / HTTP/1.1\nHost: desk.example\n\n", "\n", "\r\n")))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err, "the request was read and its connection closed without an answer")
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.True(t, response.Close)
	require.True(t, <-drained)
}

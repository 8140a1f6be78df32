package edge_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callerConnection is one connection of a caller to a host. Unlike a http.Client, it never
// sends a request again on another one.
type callerConnection struct {
	t      *testing.T
	host   *host
	conn   net.Conn
	reader *bufio.Reader
}

func newCallerConnection(t *testing.T, h *host) *callerConnection {
	conn, err := net.Dial("tcp", h.callerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConnection{t: t, host: h, conn: conn, reader: bufio.NewReader(conn)}
}

// call sends a call and returns the status of the answer.
func (c *callerConnection) call(id string) int {
	r := c.host.request(c.t.Context(), http.MethodPost, "hold", id, []byte("x"))
	require.NoError(c.t, r.Write(c.conn))
	response, err := http.ReadResponse(c.reader, r)
	require.NoError(c.t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode
}

// isClosed reports whether the host has closed the connection.
func (c *callerConnection) isClosed() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

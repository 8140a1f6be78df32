package edge_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// TWICE: requests that wait unread in the same buffer are served one after the other, each once.
func TestPipelinedRequestsRunMoreThanOnce(t *testing.T) {
	const requests = 20
	_, h, targets := startPlainFleet(t, 2)
	c := newCallerConnection(t, h)
	var all bytes.Buffer
	for n := range requests {
		r := h.request(t.Context(), http.MethodPost, "hold", fmt.Sprint("r-", n), []byte(strings.Repeat("x", n*400)))
		if n%2 == 0 {
			r.ContentLength = -1 // chunks
		}
		require.NoError(t, r.Write(&all))
	}
	go func() { _, _ = c.conn.Write(all.Bytes()) }()
	for n := range requests {
		response, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("done r-", n), string(body))
	}
	ran := make(map[string]int)
	for _, target := range targets {
		for _, r := range target.Requests() {
			ran[r.ID()]++
		}
	}
	require.Len(t, ran, requests)
	for id, times := range ran {
		require.Equal(t, 1, times, id)
	}
}

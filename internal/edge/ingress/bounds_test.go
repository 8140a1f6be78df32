package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ingress"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/platform"
)

const boundTimeout = 5 * time.Second

// serveBounded serves a handler on bounded connections.
func serveBounded(t *testing.T, handler http.Handler, bound int, memory *memquota.Budget, closed func(string)) (address string, connections *ingress.OpenConnections) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections = ingress.NewOpenConnections(listener, func(net.Conn, http.ConnState) {})
	connections.Bound, connections.Closed = bound, closed
	connections.Guard = &ingress.HeadGuard{Memory: memory, Wire: platform.Wire{}}
	server := &http.Server{Handler: handler, ConnState: connections.ConnState, ConnContext: ingress.WithConnection, ReadHeaderTimeout: boundTimeout, MaxHeaderBytes: 16 << 10}
	go func() { _ = server.Serve(connections) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), connections
}

// caller is a connection of a client.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(boundTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// answer reads an answer and its body.
func (c *caller) answer() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response, string(body)
}

func (c *caller) closed() bool {
	_, err := c.reader.ReadByte()
	return err != nil
}

// Connections that wait for nothing, or for the rest of a request, took all descriptors. A connection whose
// request is served is never closed for a new one.
func TestLongestWaitingConnectionIsClosedForANewOne(t *testing.T) {
	var closed atomic.Int64
	serving, finish := make(chan struct{}, 8), make(chan struct{})
	address, connections := serveBounded(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			serving <- struct{}{}
			<-finish
		}
	}), 3, nil, func(string) { closed.Add(1) })
	busy := dial(t, address)
	busy.write("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-serving
	silent := dial(t, address)
	require.Eventually(t, func() bool { return connections.Len() == 2 }, boundTimeout, time.Millisecond)
	half := dial(t, address)
	half.write("GET / HTTP/1.1\r\nHos")
	require.Eventually(t, func() bool { return connections.Len() == 3 }, boundTimeout, time.Millisecond)
	first := dial(t, address)
	first.write("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-serving
	require.True(t, silent.closed())
	second := dial(t, address)
	second.write("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-serving
	require.True(t, half.closed())
	require.True(t, dial(t, address).closed(), "all others are serving")
	close(finish)
	for _, c := range []*caller{busy, first, second} {
		response, _ := c.answer()
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.EqualValues(t, 3, closed.Load())
	require.Equal(t, 3, connections.Len())
}

// net/http parses a head whole before it passes the request on: the lines are counted as they arrive.
func TestHeaderLinesAreBoundedWhileTheyArrive(t *testing.T) {
	address, _ := serveBounded(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), 0, nil, nil)
	c := dial(t, address)
	lines := strings.Repeat("a:\n", ingress.DefaultMaxHeaderLines-2)
	// The newlines of bodies don't count, nor do the lines of earlier requests.
	for range 3 {
		c.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n" + lines + "\r\n" + strings.Repeat("\r\n", 4000))
		response, _ := c.answer()
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	c.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n" + lines + "a:\n\r\n" + strings.Repeat("\r\n", 4000))
	response, body := c.answer()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	require.Equal(t, edge.ReasonHeaderLines+"\n", body)
	require.True(t, c.closed())
}

func TestIncompleteHeadsAreBoundedByTheBudget(t *testing.T) {
	memory := memquota.NewBudget(1 << 20)
	address, connections := serveBounded(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 0, memory, nil)
	const lines, each = 1000, (1 + 1000 - 64) * 256
	text := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", lines)
	for i := range 3 {
		dial(t, address).write(text)
		require.Eventually(t, func() bool { return memory.Held() == int64(i+1)*each }, boundTimeout, time.Millisecond)
	}
	c := dial(t, address)
	c.write(text)
	response, _ := c.answer()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.LessOrEqual(t, memory.Held(), memory.Size())
	_ = connections.Close()
}

// serveRoute serves the handler of callers' requests with one route.
func serveRoute(t *testing.T, memory *memquota.Budget) string {
	h := newDrainHandler(t, draining.New(0))
	h.Memory = memory
	address, _ := serveBounded(t, h, 0, memory, nil)
	return address
}

func routeHead(length int) string {
	return fmt.Sprintf("POST /route/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", key, length)
}

// A client that writes its whole body before it reads lost the answer when its connection was closed
// meanwhile.
func TestRejectionReachesAClientThatStillWrites(t *testing.T) {
	const limit = 64 << 10 // of the configuration
	memory := memquota.NewBudget(8 << 20)
	taken, _ := memory.Open(0, bootclock.Now())
	require.Equal(t, memquota.Granted, taken.Grow(6<<20, bootclock.Now()))
	address := serveRoute(t, memory)
	for length, want := range map[int]int{600: http.StatusOK, limit: http.StatusServiceUnavailable, 8 << 20: http.StatusRequestEntityTooLarge} {
		c := dial(t, address)
		c.write(routeHead(length))
		for range 16 {
			c.write(strings.Repeat("x", length/16))
			time.Sleep(time.Millisecond)
		}
		c.write(strings.Repeat("x", length%16))
		response, _ := c.answer()
		require.Equal(t, want, response.StatusCode, "%d bytes", length)
		require.Equal(t, want != http.StatusOK, c.closedSoon(), "%d bytes", length)
	}
	taken.Close()
	require.Eventually(t, func() bool { return memory.Held() == 0 }, boundTimeout, time.Millisecond)
}

// closedSoon reports whether the connection is closed within a moment.
func (c *caller) closedSoon() bool {
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.reader.ReadByte()
	return err == io.EOF
}

// Bodies that stop short of their end held their memory until their deadlines.
func TestStalledBodyGivesWay(t *testing.T) {
	const length = 60 << 10
	memory := memquota.NewBudget(160 << 10)
	address := serveRoute(t, memory)
	stalled := dial(t, address)
	stalled.write(routeHead(length) + strings.Repeat("x", length-1))
	require.Eventually(t, func() bool { return memory.Held() > length }, boundTimeout, time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	ordinary := dial(t, address)
	ordinary.write(routeHead(length) + strings.Repeat("x", length))
	response, _ := ordinary.answer()
	require.Equal(t, http.StatusOK, response.StatusCode)
	response, body := stalled.answer()
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Equal(t, edge.ReasonSlowBody+"\n", body)
	require.True(t, stalled.closed())
}

// Clients without a key sent requests that were rejected before their body was read, and no more of the
// body. net/http waited for the rest without a limit, and their connections gave way to none.
func TestConnectionOfARejectedRequestGivesWay(t *testing.T) {
	h := newDrainHandler(t, draining.New(time.Second))
	address, connections := serveBounded(t, h, 2, nil, nil)
	for range 2 {
		c := dial(t, address)
		c.write("POST /nowhere/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r\r\nContent-Length: 1000\r\n\r\nabc")
	}
	require.Eventually(t, func() bool { return connections.Len() == 2 }, boundTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		c := dial(t, address)
		c.write("GET /nowhere/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r\r\nConnection: close\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && response.StatusCode == http.StatusNotFound
	}, boundTimeout, 10*time.Millisecond)
}

// A caller that sends rejected requests and reads none of the answers kept its connection without a limit.
func TestUnreadRejectionsEndTheirConnection(t *testing.T) {
	h := newDrainHandler(t, draining.New(time.Second))
	address, connections := serveBounded(t, h, 0, nil, nil)
	c := dial(t, address)
	go func() {
		request := strings.Repeat("GET /nowhere/x HTTP/1.1\r\nHost: desk.example\r\n\r\n", 1000)
		for range 2000 {
			if _, err := io.WriteString(c, request); err != nil {
				return
			}
		}
	}()
	require.Eventually(t, func() bool { return connections.Len() == 1 }, boundTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return connections.Len() == 0 }, 3*boundTimeout, 10*time.Millisecond)
}

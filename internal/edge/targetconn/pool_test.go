package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"corianderhitch/internal/edge/targetnotice"
)

const (
	idHeader      = "Id"
	leavingHeader = "Leaves"
)

// scriptedGate refuses as told and records the heads that it observes.
type scriptedGate struct {
	check, admit targetnotice.Verdict

	mu       sync.Mutex
	observed []int  // guarded by mu; statuses
	ended    []bool // guarded by mu; whether each admitted request was answered
}

func (g *scriptedGate) Check(string, *Request) targetnotice.Verdict { return g.check }

func (g *scriptedGate) Admit(string, *Request) (targetnotice.Verdict, func(bool)) {
	return g.admit, func(answered bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ended = append(g.ended, answered)
	}
}

func (g *scriptedGate) Observe(_, _ string, _ *Request, status int, h http.Header, _ bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observed = append(g.observed, status)
	return h.Get(leavingHeader) != ""
}

// rawTarget answers the n-th request of all connections with the n-th text, later ones with the last, and
// counts connections and requests.
type rawTarget struct {
	listener    net.Listener
	mu          sync.Mutex
	connections int // guarded by mu
	requests    int // guarded by mu
}

func startRawTarget(t *testing.T, answers ...string) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &rawTarget{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.count(&target.connections)
			go target.serve(conn, answers)
		}
	}()
	return target
}

func (r *rawTarget) serve(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.count(&r.requests)
		_, _ = io.Copy(io.Discard, request.Body)
		_, n := r.counts()
		if _, err := io.WriteString(conn, answers[min(n, len(answers))-1]); err != nil {
			return
		}
	}
}

func (r *rawTarget) count(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *rawTarget) counts() (connections, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections, r.requests
}

func newTestPool(gate Gate) *Pool {
	return newTestPoolWithShare(gate, 0)
}

func newTestPoolWithShare(gate Gate, share float64) *Pool {
	return New(func(h http.Header) string { return h.Get(idHeader) }, gate, func(string) float64 { return share })
}

func exchange(t *testing.T, p *Pool, r *rawTarget) error {
	response, err := p.Do(t.Context(), "a@1", r.listener.Addr().String(), &Request{ID: "r-1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response)
	response.Close()
	return err
}

func TestRefusedSendDoesNotReachTarget(t *testing.T) {
	for name, c := range map[string]struct {
		gate        *scriptedGate
		connections int
	}{
		"before the connection": {gate: &scriptedGate{check: targetnotice.Leaving}},
		"before the request":    {gate: &scriptedGate{admit: targetnotice.Paused}, connections: 1},
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			pool := newTestPool(c.gate)
			err := exchange(t, pool, target)
			require.ErrorIs(t, err, ErrRefused)
			require.ErrorIs(t, err, ErrNotSent)
			require.NotErrorIs(t, err, ErrBroken)
			time.Sleep(50 * time.Millisecond)
			connections, requests := target.counts()
			require.Equal(t, c.connections, connections)
			require.Zero(t, requests)
			c.gate.check, c.gate.admit = targetnotice.Allowed, targetnotice.Allowed
			require.NoError(t, exchange(t, pool, target))
			connections, _ = target.counts()
			require.Equal(t, 1, connections, "the connection of a refused request is kept")
		})
	}
}

// The head of a response to another request, of an interim and of a broken response count too.
func TestEveryHeadIsObserved(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   []int
	}{
		"error":            {"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", []int{500}},
		"misdirected":      {"HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n", []int{421}},
		"interim":          {"HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", []int{103, 200}},
		"another request":  {"HTTP/1.1 503 N\r\nId: r-0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 0\r\n\r\n", []int{503, 200}},
		"body cut short":   {"HTTP/1.1 503 N\r\nConnection: close\r\nContent-Length: 9\r\n\r\nabc", []int{503}},
		"stream goes on":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", []int{200}},
		"until connection": {"HTTP/1.1 200 OK\r\n\r\nabc", []int{200}},
	} {
		t.Run(name, func(t *testing.T) {
			gate := &scriptedGate{}
			target := startRawTarget(t, c.answer)
			response, err := newTestPool(gate).Do(t.Context(), "a@1", target.listener.Addr().String(), &Request{ID: "r-1", Method: http.MethodGet, URI: "/", Header: http.Header{}})
			require.NoError(t, err)
			defer response.Close()
			gate.mu.Lock()
			defer gate.mu.Unlock()
			require.Equal(t, c.want, gate.observed, "heads are observed before the body is read")
		})
	}
}

// No request would use the idle connection to a leaving target, which would stay open.
func TestConnectionToLeavingTargetIsNotKept(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   int
	}{
		{"HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 0\r\n\r\n", 1},
		{"HTTP/1.1 200 OK\r\nId: r-1\r\n" + leavingHeader + ": 1\r\nContent-Length: 0\r\n\r\n", 2},
	} {
		target := startRawTarget(t, c.answer)
		pool := newTestPool(&scriptedGate{})
		require.NoError(t, exchange(t, pool, target))
		require.NoError(t, exchange(t, pool, target))
		connections, _ := target.counts()
		require.Equal(t, c.want, connections)
	}
}

// A target on trial gets no other request until the first one has ended, however that is.
func TestEveryEndOfAnAdmittedRequestIsReported(t *testing.T) {
	const silent = ""
	for name, c := range map[string]struct {
		answer string
		want   bool
	}{
		"answered":           {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		"stream has begun":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"not HTTP":           {"nonsense\r\n\r\n", false},
		"only interim heads": {"HTTP/1.1 103 E\r\n\r\n", false},
		"caller left":        {silent, false},
	} {
		t.Run(name, func(t *testing.T) {
			gate := &scriptedGate{}
			target := startRawTarget(t, c.answer)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			response, err := newTestPool(gate).Do(ctx, "a@1", target.listener.Addr().String(), &Request{ID: "r-1", Method: http.MethodGet, URI: "/", Header: http.Header{}})
			if err == nil {
				response.Close()
			}
			require.Equal(t, c.want, err == nil)
			require.Equal(t, []bool{c.want}, gate.ended)
		})
	}
}

func TestIdleConnectionsOfAllHostsExceedWhatTargetAccepts(t *testing.T) {
	const maxConnections, concurrent = 100, 4
	for _, hosts := range []int{10, 295} {
		target := startRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		idle := 0
		for range hosts {
			pool := newTestPoolWithShare(&scriptedGate{}, float64(maxConnections)/float64(hosts))
			var responses []*Response
			for range concurrent {
				request := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
				response, err := pool.Do(t.Context(), "a@1", target.listener.Addr().String(), request)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response)
				require.NoError(t, err)
				responses = append(responses, response)
			}
			for _, response := range responses {
				response.Close()
			}
			idle += len(pool.idle["a@1"])
			t.Cleanup(func() { pool.CloseIdle("a@1") })
		}
		require.Less(t, idle, maxConnections, "%d hosts", hosts)
		require.Greater(t, idle, maxConnections/5, "%d hosts: connections must be reused", hosts)
	}
}

func TestAnswersThatBelongToNoOrAnotherRequest(t *testing.T) {
	answer := func(status int, id string) string {
		head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Length: 0\r\n"
		if id != "" {
			head += idHeader + ": " + id + "\r\n"
		}
		return head + "\r\n"
	}
	for name, c := range map[string]struct {
		requests    []string // IDs, one after the other
		answers     []string
		statuses    []int
		connections int
	}{
		"IDs are echoed": {[]string{"a", "b"}, []string{answer(200, "a"), answer(200, "b")}, []int{200, 200}, 1},
		"stale, of the earlier request": {
			[]string{"a", "b"}, []string{answer(503, "a"), answer(503, "a") + answer(200, "b")}, []int{503, 200}, 1,
		},
		"stale, of the same request that is sent again": {
			[]string{"a", "a"}, []string{answer(503, "a"), answer(200, "a")}, []int{503, 200}, 2,
		},
		"stale, of the same request that is sent again later": {
			[]string{"a", "b", "a"}, []string{answer(503, "a"), answer(200, "b"), answer(200, "a")}, []int{503, 200, 200}, 2,
		},
		"without an ID on a kept connection": {
			[]string{"a", "b", "c"}, []string{answer(200, "a"), answer(503, "") + answer(200, "b"), answer(200, "c")}, []int{200, 200, 200}, 1,
		},
		"a target without IDs": {
			[]string{"a", "b", "c"}, []string{answer(200, ""), answer(503, ""), answer(200, "")}, []int{200, 503, 200}, 3,
		},
		"requests without IDs, whose answers nothing tells apart": {
			[]string{"a", "", "", "b"}, []string{answer(200, "a"), answer(200, ""), answer(200, ""), answer(200, "b")}, []int{200, 200, 200, 200}, 3,
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, c.answers...)
			p := newTestPool(&scriptedGate{})
			var statuses []int
			for _, id := range c.requests {
				response, err := p.Do(t.Context(), "a@1", target.listener.Addr().String(), &Request{ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
				require.NoError(t, err)
				statuses = append(statuses, response.Status)
				response.Discard()
			}
			connections, _ := target.counts()
			require.Equal(t, c.statuses, statuses)
			require.Equal(t, c.connections, connections)
		})
	}
}

func TestRequestThatMayHaveArrivedCountsAsNotSent(t *testing.T) {
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	awaitRequest := func(conn net.Conn) { // a reset before the connection is established is no send
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			return
		}
		_ = raw.Read(func(fd uintptr) bool {
			_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return err != unix.EAGAIN
		})
	}
	for name, end := range map[string]func(net.Conn){
		"closed at once": func(net.Conn) {},
		"reset unread": func(conn net.Conn) {
			awaitRequest(conn)
			reset(conn)
		},
		"reset when the request has been read": func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
		},
		"interim head, then closed": func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 103 E\r\n\r\n") },
		"head cut short":            func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 503 N\r\nNot-Exec") },
		"rejection of another request": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 N\r\n"+idHeader+": r-0\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		for _, body := range []int{0, 4 * maxInlineWrite} {
			t.Run(fmt.Sprint(name, ", body of ", body), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = listener.Close() }()
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						end(conn)
						_ = conn.Close()
					}
				}()
				_, err = newTestPool(&scriptedGate{}).Do(t.Context(), "a@1", listener.Addr().String(),
					&Request{ID: "r-1", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, body)})
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrNotSent)
				require.Contains(t, []ForwardOutcome{ForwardBroken, ForwardInvalid}, OutcomeOf(err), "another host would have it sent again")
			})
		}
	}
}

// Guards against a connection for each copy that stays open: targets accept a bounded number from all hosts.
func TestConnectionsOfCopiesDoNotPileUp(t *testing.T) {
	target := startRawTarget(t, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")
	p := newTestPool(&scriptedGate{})
	ask := func(method string) {
		r, err := p.Do(t.Context(), "t@1", target.listener.Addr().String(), &Request{Method: method, URI: "/", Host: "h", Header: http.Header{}, CopyTo: "u@1", Use: targetnotice.Control})
		require.NoError(t, err)
		r.Discard()
	}
	for range 3 * maxChangedPerTarget {
		ask(http.MethodPost)
	}
	ask(http.MethodDelete)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.idle[controlPrefix+"t@1"], maxChangedPerTarget)
	target.mu.Lock()
	defer target.mu.Unlock()
	require.Equal(t, 3*maxChangedPerTarget, target.connections, "each copy has a connection of its own, the release has none")
}

package forwarding

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
)

// gate is that of a host; it refuses requests with a verdict and notes the responses it is shown.
type gate struct {
	verdict  targetnotice.Verdict
	uses     []targetnotice.Use
	observed []int
}

func (g *gate) Check(_ string, r *targetconn.Request) targetnotice.Verdict {
	g.uses = append(g.uses, r.Use)
	return g.verdict
}

func (g *gate) Admit(string, *targetconn.Request) (targetnotice.Verdict, func(bool)) {
	return g.verdict, func(bool) {}
}

func (g *gate) Observe(_, _ string, _ *targetconn.Request, status int, _ http.Header, _ bool) bool {
	g.observed = append(g.observed, status)
	return false
}

// helpersOf makes a pool ask the same hosts for each request.
type helpersOf struct {
	addresses []string

	mu       sync.Mutex
	outcomes []targetconn.ForwardOutcome // guarded by mu
	regions  []region.Set                // guarded by mu; of the hosts that were asked for
}

func (h *helpersOf) Helpers(_ string, regions region.Set) ([]string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.regions = append(h.regions, regions)
	return h.addresses, true
}
func (h *helpersOf) ObserveOpening(string, bool) {}
func (h *helpersOf) ObserveHelper(_ string, o targetconn.ForwardOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

func (h *helpersOf) observed() []targetconn.ForwardOutcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.outcomes)
}

func newPool(g targetconn.Gate) *targetconn.Pool {
	return targetconn.New(func(h http.Header) string { return h.Get("Request-Id") }, g, func(string) float64 { return 0 })
}

// startHelper starts a host that sends requests for others, after change.
func startHelper(t *testing.T, change func(*Server)) (address string, g *gate) {
	g = &gate{}
	s := &Server{Log: slog.New(slog.DiscardHandler), Pool: newPool(g), CutOff: func(string) bool { return false }, TimeLeft: timeLeft(0, false),
		IsHost: func(ip string) bool { return ip == "127.0.0.1" }, Bodies: memquota.New(1 << 20)}
	s.Pool.Forwarder = &helpersOf{addresses: []string{"127.0.0.1:1"}} // it must not ask another host
	if change != nil {
		change(s)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	require.NoError(t, s.Start(listener.Addr().String()))
	t.Cleanup(s.Stop)
	return listener.Addr().String(), g
}

// longest is how long the requests of these tests take at most.
const longest = 2 * time.Second

func timeLeft(left time.Duration, stopping bool) func() (time.Duration, bool) {
	return func() (time.Duration, bool) { return left, stopping }
}

func callersRequest(method, body string) *targetconn.Request {
	return &targetconn.Request{ID: "r-1", Method: method, URI: "/a%2Fb/?q=%20x", Host: "desk.example", Use: targetnotice.Request, Arrived: bootclock.Now(), Longest: longest,
		Header: http.Header{"Request-Id": {"r-1"}, "X-Caller": {"a", "b"}}, Body: []byte(body)}
}

func TestForwardedRequestAndResponseAreUnchanged(t *testing.T) {
	var got *http.Request
	var body []byte
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Request-Id", "r-1")
		w.Header().Set("Signature", "s")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "answer")
	}))
	defer target.Close()
	helper, helperGate := startHelper(t, nil)
	ownGate, asked := &gate{}, &helpersOf{addresses: []string{helper}}
	pool := newPool(ownGate)
	pool.Forwarder = asked
	for range 2 { // the second one on the same connection
		response, err := pool.Do(t.Context(), "t@1", target.Listener.Addr().String(), callersRequest(http.MethodPost, "question"))
		require.NoError(t, err)
		answer, err := response.ReadAll(100)
		require.NoError(t, err)
		response.Close()
		require.Equal(t, "answer", string(answer))
		require.Equal(t, http.StatusTeapot, response.Status)
		require.Equal(t, "s", response.Header.Get("Signature"))
		require.Equal(t, "question", string(body))
		require.Equal(t, "/a%2Fb/?q=%20x", got.RequestURI)
		require.Equal(t, "desk.example", got.Host)
		require.Equal(t, []string{"a", "b"}, got.Header["X-Caller"])
		for _, headers := range []http.Header{got.Header, response.Header} {
			for name := range headers {
				require.False(t, strings.HasPrefix(name, "Hitch-"), name)
			}
		}
	}
	require.Equal(t, []int{http.StatusTeapot, http.StatusTeapot}, ownGate.observed, "what the target states holds at both hosts")
	require.Equal(t, ownGate.observed, helperGate.observed)
	require.Equal(t, []targetnotice.Use{targetnotice.ForwardedRequest, targetnotice.ForwardedRequest}, helperGate.uses[:2])
	require.Equal(t, []targetconn.ForwardOutcome{targetconn.ForwardAnswered, targetconn.ForwardAnswered}, asked.observed())
}

func TestForwardedStreamArrivesAsItIsMade(t *testing.T) {
	next, cut := make(chan struct{}), make(chan struct{}, 1)
	var canceled atomic.Bool
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 2 {
			_, _ = io.WriteString(w, "event\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-next:
			case <-r.Context().Done():
				canceled.Store(true)
				return
			case <-cut:
				panic(http.ErrAbortHandler)
			}
		}
	}))
	defer target.Close()
	helper, _ := startHelper(t, nil)
	pool := newPool(&gate{})
	pool.Forwarder = &helpersOf{addresses: []string{helper}}
	open := func(ctx context.Context) (*targetconn.Response, *bufio.Reader) {
		response, err := pool.Do(ctx, "t@1", target.Listener.Addr().String(), callersRequest(http.MethodGet, ""))
		require.NoError(t, err)
		reader := bufio.NewReader(response)
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "event\n", line)
		return response, reader
	}
	response, reader := open(t.Context())
	next <- struct{}{}
	_, err := reader.ReadString('\n')
	require.NoError(t, err)
	cut <- struct{}{}
	_, err = reader.ReadString('\n')
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF, "a stream that broke off must not look complete")
	response.Close()
	ctx, cancel := context.WithCancel(t.Context())
	response, _ = open(ctx)
	cancel()
	response.Close()
	require.Eventually(t, canceled.Load, time.Second, time.Millisecond, "the end of the request cancels the run")
}

func TestOutcomesOfHelpers(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer target.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, dead.Close())
	breaking := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer breaking.Close()
	for name, c := range map[string]struct {
		change func(*Server)
		target string
		want   error // nil if the next helper sends the request
	}{
		"cut off too":       {change: func(s *Server) { s.CutOff = func(string) bool { return true } }},
		"stopped":           {change: func(s *Server) { s.TimeLeft = timeLeft(-1, true) }},
		"stops before":      {change: func(s *Server) { s.TimeLeft = timeLeft(longest-1, true) }},
		"not in the fleet":  {change: func(s *Server) { s.IsHost = func(string) bool { return false } }},
		"target leaves":     {change: func(s *Server) { s.Pool = newPool(&gate{verdict: targetnotice.Leaving}) }, want: targetconn.ErrRefused},
		"target on trial":   {change: func(s *Server) { s.Pool = newPool(&gate{verdict: targetnotice.OnTrial}) }, want: targetconn.ErrNotYet},
		"target is down":    {target: dead.Addr().String(), want: targetconn.ErrNotSent},
		"target breaks off": {target: breaking.Listener.Addr().String(), want: targetconn.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			first, _ := startHelper(t, c.change)
			second, secondGate := startHelper(t, nil)
			pool := newPool(&gate{})
			pool.Forwarder = &helpersOf{addresses: []string{dead.Addr().String(), first, second}}
			address := c.target
			if address == "" {
				address = target.Listener.Addr().String()
			}
			response, err := pool.Do(t.Context(), "t@1", address, callersRequest(http.MethodPost, "question"))
			if c.want == nil {
				require.NoError(t, err)
				response.Close()
				return
			}
			require.ErrorIs(t, err, c.want)
			require.Empty(t, secondGate.uses, "the request must not be sent twice")
		})
	}
}

func TestHostThatStopsSendsForOthersWhatEndsBeforeIt(t *testing.T) {
	var sent atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sent.Add(1) }))
	defer target.Close()
	for name, c := range map[string]struct {
		longest time.Duration // 0 if the asking host doesn't know
		timeout time.Duration // of the request's context; 0 for none
		want    targetconn.ForwardOutcome
	}{
		"it fits":             {longest: longest, want: targetconn.ForwardAnswered},
		"it does not":         {longest: longest + time.Millisecond, want: targetconn.ForwardTooLong},
		"it is not known":     {want: targetconn.ForwardTooLong},
		"its time-out fits":   {timeout: longest, want: targetconn.ForwardAnswered},
		"its time-out is far": {timeout: 2 * longest, want: targetconn.ForwardTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			sent.Store(0)
			helper, _ := startHelper(t, func(s *Server) { s.TimeLeft = timeLeft(longest, true) })
			pool, asked := newPool(&gate{}), &helpersOf{addresses: []string{helper}}
			pool.Forwarder = asked
			request, ctx := callersRequest(http.MethodPost, "question"), t.Context()
			request.Longest = c.longest
			if c.timeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, c.timeout)
				defer cancel()
			}
			response, err := pool.Do(ctx, "t@1", target.Listener.Addr().String(), request)
			require.NoError(t, err, "the asking host may reach the target after all")
			response.Close()
			require.Equal(t, []targetconn.ForwardOutcome{c.want}, asked.observed())
			require.EqualValues(t, 1, sent.Load())
		})
	}
}

// A helper that ends with a request in hand may have sent it.
func TestRequestOfALostHelperMayHaveRun(t *testing.T) {
	helper := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer helper.Close()
	pool := newPool(&gate{})
	pool.Forwarder = &helpersOf{addresses: []string{helper.Listener.Addr().String(), helper.Listener.Addr().String()}}
	_, err := pool.Do(t.Context(), "t@1", "127.0.0.1:1", callersRequest(http.MethodPost, ""))
	require.ErrorIs(t, err, targetconn.ErrBroken)
	require.False(t, errors.Is(err, targetconn.ErrNotSent))
}

// An earlier answer, written once more, would be taken for theirs.
func TestHelperSendsRequestsWithoutIDsOnKeptConnections(t *testing.T) {
	const requests = 3
	for name, c := range map[string]struct {
		use    targetnotice.Use
		method string
		copyTo string
		status int // of the answers
		want   int // connections
	}{
		"calls":                        {targetnotice.Request, http.MethodPost, "", http.StatusOK, requests},
		"calls that conflict":          {targetnotice.Request, http.MethodPost, "", http.StatusConflict, requests},
		"final moves":                  {targetnotice.Control, http.MethodPost, "", http.StatusOK, requests},
		"final moves of unknown runs":  {targetnotice.Control, http.MethodPost, "", http.StatusNotFound, requests},
		"final moves without room":     {targetnotice.Control, http.MethodPost, "", http.StatusServiceUnavailable, requests},
		"final moves, asked once more": {targetnotice.Control, http.MethodPost, "", http.StatusConflict, 1},
		"other copies":                 {targetnotice.Control, http.MethodPost, "b@1", http.StatusOK, requests},
		"other copies, asked again":    {targetnotice.Control, http.MethodPost, "b@1", http.StatusConflict, 1},
		"releases":                     {targetnotice.Control, http.MethodDelete, "", http.StatusOK, 1},
		"reports":                      {targetnotice.Probe, http.MethodGet, "", http.StatusOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var connections sync.Map
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				connections.Store(r.RemoteAddr, true)
				w.WriteHeader(c.status)
			}))
			defer target.Close()
			helper, _ := startHelper(t, nil)
			pool := newPool(&gate{})
			pool.Forwarder = &helpersOf{addresses: []string{helper}}
			for range requests {
				request := callersRequest(c.method, "")
				request.ID, request.Use, request.CopyTo = "", c.use, c.copyTo
				request.Header.Del("Request-Id")
				response, err := pool.Do(t.Context(), "t@1", target.Listener.Addr().String(), request)
				require.NoError(t, err)
				response.Discard()
			}
			used := 0
			connections.Range(func(any, any) bool { used++; return true })
			require.Equal(t, c.want, used)
		})
	}
}

// startLosingHelper starts a helper that answers the first requests of a connection, and then writes last
// as its answer and closes the connection.
func startLosingHelper(t *testing.T, answered int, last string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := range answered + 1 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := "HTTP/1.1 200 OK\r\nHitch-Forward-Outcome: answered\r\nContent-Length: 0\r\n\r\n"
			if n == answered {
				text = last
			}
			_, _ = io.WriteString(conn, text)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// The second helper would send it once more.
func TestNextHelperIsAskedAfterALostAnswer(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer target.Close()
	for name, answer := range map[string]string{
		"none":                             "",
		"only that it has the request":     "HTTP/1.1 102 Processing\r\n\r\n",
		"refusal cut short":                "HTTP/1.1 503 N\r\nHitch-Forward-Outcome: busy\r\n",
		"no outcome":                       "HTTP/1.1 503 N\r\nContent-Length: 0\r\n\r\n",
		"outcome of a later build":         "HTTP/1.1 503 N\r\nHitch-Forward-Outcome: later\r\nContent-Length: 0\r\n\r\n",
		"outcome that only the sender has": "HTTP/1.1 503 N\r\nHitch-Forward-Outcome: unreachable\r\nContent-Length: 0\r\n\r\n",
		"not HTTP":                         "nonsense\r\n\r\n",
	} {
		for _, earlier := range []int{0, 1} { // requests that were answered on the same connection
			t.Run(name+", kept "+strconv.Itoa(earlier), func(t *testing.T) {
				second, secondGate := startHelper(t, nil)
				pool := newPool(&gate{})
				pool.Forwarder = &helpersOf{addresses: []string{startLosingHelper(t, earlier, answer), second}}
				for range earlier {
					response, err := pool.Do(t.Context(), "t@1", target.Listener.Addr().String(), callersRequest(http.MethodPost, "question"))
					require.NoError(t, err)
					response.Discard()
				}
				_, err := pool.Do(t.Context(), "t@1", target.Listener.Addr().String(), callersRequest(http.MethodPost, "question"))
				require.Error(t, err)
				require.NotErrorIs(t, err, targetconn.ErrNotSent)
				require.Empty(t, secondGate.uses)
			})
		}
	}
}

// Its kernel goes on accepting connections. The request may be in its hands, so that no other host
// gets it; later requests ask others.
func TestFrozenHelperIsPassedOver(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer frozen.Close()
	pool, asked := newPool(&gate{}), &helpersOf{addresses: []string{frozen.Addr().String()}}
	pool.Forwarder = asked
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	_, err = pool.Do(ctx, "t@1", "127.0.0.1:1", callersRequest(http.MethodPost, ""))
	require.ErrorIs(t, err, targetconn.ErrBroken)
	require.Equal(t, []targetconn.ForwardOutcome{targetconn.ForwardUnreachable}, asked.observed())
}

// All hosts took targets that were down for a cut; they are back before the next probe.
func TestHostSendsItselfIfNoHelperCan(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer target.Close()
	helper, _ := startHelper(t, func(s *Server) { s.CutOff = func(string) bool { return true } })
	pool, asked := newPool(&gate{}), &helpersOf{addresses: []string{helper}}
	pool.Forwarder = asked
	response, err := pool.Do(t.Context(), "t@1", target.Listener.Addr().String(), callersRequest(http.MethodPost, ""))
	require.NoError(t, err)
	response.Close()
	require.Equal(t, []targetconn.ForwardOutcome{targetconn.ForwardCutOff}, asked.observed())
}

func TestRequestWithoutAHelperIsNotSentOnAConnectionThatIsReset(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	for name, addresses := range map[string][]string{"none known": nil, "none can help": {"127.0.0.1:1"}} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(&gate{})
			pool.Forwarder = &helpersOf{addresses: addresses}
			_, err := pool.Do(t.Context(), "t@1", target.Addr().String(), callersRequest(http.MethodPost, "question"))
			require.ErrorIs(t, err, targetconn.ErrNotSent)
		})
	}
}

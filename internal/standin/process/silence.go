package process

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Silence is a fault: the process sends nothing for a while and then goes on as if nothing
// had happened. It is also the body of PUT /admin/silence.
type Silence struct {
	For time.Duration `json:"for_ns"`
	// AfterBytes is the number of bytes of answers to callers that are sent before the
	// silence begins: 0 for a silence before the next one, a few for one inside it.
	// Negative means that the silence begins at once. Polls don't count.
	AfterBytes int `json:"after_bytes"`
}

// SilenceGate holds back what a process sends while it is silent. It is safe for
// concurrent use.
type SilenceGate struct {
	onSilent func(until time.Time) // may be nil

	mu    sync.Mutex
	armed bool      // guarded by mu
	next  Silence   // guarded by mu
	until time.Time // guarded by mu
}

// NewSilenceGate returns an open gate. It calls onSilent when a silence begins.
func NewSilenceGate(onSilent func(until time.Time)) *SilenceGate {
	return &SilenceGate{onSilent: onSilent}
}

// Arm plans a silence, in place of an earlier one that has not begun.
func (g *SilenceGate) Arm(s Silence) {
	g.mu.Lock()
	g.armed, g.next = s.AfterBytes >= 0, s
	g.mu.Unlock()
	if s.AfterBytes < 0 {
		g.begin(s.For)
	}
}

func (g *SilenceGate) begin(d time.Duration) {
	until := time.Now().Add(d)
	g.mu.Lock()
	g.until = until
	g.mu.Unlock()
	if g.onSilent != nil {
		g.onSilent(until)
	}
}

// take returns how many of n bytes may be sent before a planned silence begins, and the
// length of that silence, 0 if none begins.
func (g *SilenceGate) take(n int) (int, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.armed || n < g.next.AfterBytes {
		if g.armed {
			g.next.AfterBytes -= n
		}
		return n, 0
	}
	g.armed = false
	return g.next.AfterBytes, g.next.For
}

// wait waits until the silence is over.
func (g *SilenceGate) wait() {
	g.mu.Lock()
	until := g.until
	g.mu.Unlock()
	time.Sleep(time.Until(until))
}

// gatedListener returns connections whose writes pass the gate.
type gatedListener struct {
	net.Listener
	gate *SilenceGate
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: l.gate}, nil
}

// gatedConn is a connection of which one request is served at a time.
type gatedConn struct {
	net.Conn
	gate *SilenceGate

	mu     sync.Mutex
	exempt bool // a request of the admin API is being answered; guarded by mu
	counts bool // a caller's request is being answered; guarded by mu
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	exempt, counts := c.exempt, c.counts
	c.mu.Unlock()
	if exempt {
		return c.Conn.Write(p)
	}
	c.gate.wait()
	if !counts {
		return c.Conn.Write(p)
	}
	before, silence := c.gate.take(len(p))
	if silence == 0 {
		return c.Conn.Write(p)
	}
	sent, err := c.Conn.Write(p[:before])
	if err != nil {
		return sent, err
	}
	c.gate.begin(silence)
	c.gate.wait()
	rest, err := c.Conn.Write(p[before:])
	return sent + rest, err
}

type gatedConnKey struct{}

// polledPaths are asked by agents and operators, not by callers.
var polledPaths = []string{"/livez", "/readyz", "/v1/load", "/v1/cache-events", "/v1/orders"}

// gated returns a handler that tells the connection what kind of request it answers.
func gated(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(gatedConnKey{}).(*gatedConn); ok {
			admin, polled := strings.HasPrefix(r.URL.Path, "/admin/"), false
			for _, path := range polledPaths {
				polled = polled || r.URL.Path == path
			}
			c.mu.Lock()
			c.exempt, c.counts = admin, !admin && !polled
			c.mu.Unlock()
		}
		handler.ServeHTTP(w, r)
	})
}

func withGatedConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, gatedConnKey{}, conn)
}

// Unwrap returns the connection below one that a gate holds back.
func Unwrap(conn net.Conn) net.Conn {
	if c, ok := conn.(*gatedConn); ok {
		return c.Conn
	}
	return conn
}

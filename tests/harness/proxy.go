package harness

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Mode is what a Proxy does with bytes.
type Mode int

// Modes of a Proxy.
const (
	Pass      Mode = iota
	Stall          // both directions stop; connections stay open
	StallUp        // bytes towards the target stop
	StallDown      // bytes from the target stop
	Refuse         // new connections are closed at once
)

// readyLimit bounds the start of a process on a busy machine.
const readyLimit = 20 * time.Second

// Proxy forwards TCP connections to one target and disturbs them on order.
type Proxy struct {
	at     string // Address listened on
	target string
	done   sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	changed  *sync.Cond   // signals a change of mode or closed
	mode     Mode
	delay    time.Duration         // added before each forwarded read
	cutUp    int                   // closes a connection after this many bytes towards the target; 0 is off
	cutDown  int                   // closes a connection after this many bytes from the target; 0 is off
	conns    map[net.Conn]struct{} // both sides of every open connection
	closed   bool
}

// NewProxy listens on a free port for connections to the target.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	p := &Proxy{target: target, conns: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mu)
	p.begin(FreeListener(t))
	p.at = p.listener.Addr().String()
	t.Cleanup(p.Close)
	return p
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.at }

// Listen accepts connections, as after the start.
func (p *Proxy) Listen(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return
	}
	listener, err := net.Listen("tcp", p.at)
	require.NoError(t, err)
	p.begin(listener)
}

func (p *Proxy) begin(listener net.Listener) {
	p.listener = listener
	p.done.Go(func() { p.accept(listener) })
}

// Unlisten refuses new connections, as a host does on which nothing listens.
func (p *Proxy) Unlisten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Set changes the mode for all connections, open and new.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	p.changed.Broadcast()
}

// SetDelay holds every forwarded read back for d.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// CutAfter closes each connection after so many more bytes in a direction.
func (p *Proxy) CutAfter(up, down int) {
	p.mu.Lock()
	p.cutUp, p.cutDown = up, down
	p.mu.Unlock()
}

// Cut closes all open connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[net.Conn]struct{})
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	p.changed.Broadcast()
}

// Follow makes the proxy refuse connections once the process is dead, as the
// target's own port does.
func (p *Proxy) Follow(process *Process) {
	ended := process.Ended()
	p.done.Go(func() {
		<-ended
		p.Unlisten()
		p.Cut()
	})
}

// Revive listens again after a restart of the target.
func (p *Proxy) Revive(t testing.TB, process *Process) {
	t.Helper()
	Await(t, readyLimit, "refusals after the death of the target", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.listener == nil
	})
	p.Listen(t)
	p.Follow(process)
}

// Close ends all connections.
func (p *Proxy) Close() {
	p.Unlisten()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Cut()
	p.done.Wait()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.done.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.done.Done()
	defer client.Close()
	p.mu.Lock()
	refused := p.mode == Refuse || p.closed
	p.mu.Unlock()
	if refused {
		return
	}
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	p.track(client, target)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.pump(target, client, true) }()
	go func() { defer both.Done(); p.pump(client, target, false) }()
	both.Wait()
	p.untrack(client, target)
}

// pump copies one direction until either side closes.
func (p *Proxy) pump(dst, src net.Conn, up bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	sent := 0
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			allowed, ok := p.gate(up, sent, n)
			if _, werr := dst.Write(buffer[:allowed]); werr != nil || !ok {
				return
			}
			sent += allowed
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// gate waits while the direction stalls and returns how many of n bytes may
// pass, and false if the connection is to be closed after them.
func (p *Proxy) gate(up bool, sent, n int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.stalled(up) && !p.closed {
		p.changed.Wait()
	}
	if p.closed {
		return 0, false
	}
	if d := p.delay; d > 0 {
		p.mu.Unlock()
		<-time.After(d)
		p.mu.Lock()
	}
	limit := p.cutDown
	if up {
		limit = p.cutUp
	}
	if limit > 0 && sent+n >= limit {
		return max(0, limit-sent), false
	}
	return n, true
}

func (p *Proxy) stalled(up bool) bool {
	switch p.mode {
	case Stall:
		return true
	case StallUp:
		return up
	case StallDown:
		return !up
	default:
		return false
	}
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

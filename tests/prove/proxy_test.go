package prove

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxyMode is what a faultProxy does with bytes.
type proxyMode int

const (
	pass      proxyMode = iota
	stall               // both directions stop; connections stay open
	stallUp             // bytes towards the target stop
	stallDown           // bytes from the target stop
	refuse              // new connections are closed at once
)

// faultProxy forwards TCP connections to one target and disturbs them on order.
type faultProxy struct {
	at     string // address listened on
	target string
	done   sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	changed  *sync.Cond   // signals a change of mode or closed
	mode     proxyMode
	delay    time.Duration         // added before each forwarded read
	cutUp    int                   // closes a connection after this many bytes towards the target; 0 is off
	cutDown  int                   // closes a connection after this many bytes from the target; 0 is off
	conns    map[net.Conn]struct{} // both sides of every open connection
	closed   bool
}

func newFaultProxy(t testing.TB, target string) *faultProxy {
	t.Helper()
	p := &faultProxy{target: target, conns: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mu)
	p.begin(freeListener(t))
	p.at = p.listener.Addr().String()
	t.Cleanup(p.close)
	return p
}

func (p *faultProxy) address() string { return p.at }

// listen accepts connections, as after the start.
func (p *faultProxy) listen(t testing.TB) {
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

func (p *faultProxy) begin(listener net.Listener) {
	p.listener = listener
	p.done.Go(func() { p.accept(listener) })
}

// unlisten refuses new connections, as a host does on which nothing listens.
func (p *faultProxy) unlisten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// set changes the mode for all connections, open and new.
func (p *faultProxy) set(mode proxyMode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	p.changed.Broadcast()
}

// setDelay holds every forwarded read back for d.
func (p *faultProxy) setDelay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// cutAfter closes each connection after so many more bytes in a direction.
func (p *faultProxy) cutAfter(up, down int) {
	p.mu.Lock()
	p.cutUp, p.cutDown = up, down
	p.mu.Unlock()
}

// cut closes all open connections.
func (p *faultProxy) cut() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[net.Conn]struct{})
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	p.changed.Broadcast()
}

// follow makes the proxy refuse connections once the process is dead, as the
// target's own port does.
func (p *faultProxy) follow(process *process) {
	ended := process.ended()
	p.done.Go(func() {
		<-ended
		p.unlisten()
		p.cut()
	})
}

// revive listens again after a restart of the target.
func (p *faultProxy) revive(t testing.TB, process *process) {
	t.Helper()
	await(t, readyLimit, "refusals after the death of the target", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.listener == nil
	})
	p.listen(t)
	p.follow(process)
}

func (p *faultProxy) close() {
	p.unlisten()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cut()
	p.done.Wait()
}

func (p *faultProxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.done.Add(1)
		go p.serve(conn)
	}
}

func (p *faultProxy) serve(client net.Conn) {
	defer p.done.Done()
	defer client.Close()
	p.mu.Lock()
	refused := p.mode == refuse || p.closed
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
func (p *faultProxy) pump(dst, src net.Conn, up bool) {
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
func (p *faultProxy) gate(up bool, sent, n int) (int, bool) {
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

func (p *faultProxy) stalled(up bool) bool {
	switch p.mode {
	case stall:
		return true
	case stallUp:
		return up
	case stallDown:
		return !up
	default:
		return false
	}
}

func (p *faultProxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *faultProxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

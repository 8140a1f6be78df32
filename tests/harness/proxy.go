package harness

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Mode is how a Proxy treats connections and their bytes.
type Mode int

// The modes of a Proxy.
const (
	Pass        Mode = iota
	Stall            // forwards nothing in either direction; connections stay open
	StallUp          // forwards nothing towards the target
	StallDown        // forwards nothing from the target
	CloseNew         // accepts new connections and closes them immediately
	CloseOnData      // accepts new connections and closes each when its first byte has arrived
)

// reopenTimeout bounds the wait of Reopen on a busy machine.
const reopenTimeout = 20 * time.Second

// Proxy forwards TCP connections to one target and injects faults into them. Its
// methods are safe for concurrent use.
type Proxy struct {
	address    string // listened on, also after a reopen
	target     string
	goroutines sync.WaitGroup

	mu             sync.Mutex
	listener       net.Listener // nil while not listening
	changed        *sync.Cond   // signals a change of mode or closed
	mode           Mode
	delay          time.Duration         // added before the bytes of each read are forwarded
	closeAfterUp   int                   // closes a connection after this many bytes towards the target; 0 disables
	closeAfterDown int                   // closes a connection after this many bytes from the target; 0 disables
	conns          map[net.Conn]struct{} // both sides of every open connection
	cut            map[string]bool       // IP addresses of clients whose connections are reset
	closed         bool
}

// NewProxy listens on a free port and forwards to the target until the test ends.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	p := &Proxy{target: target, conns: make(map[net.Conn]struct{}), cut: make(map[string]bool)}
	p.changed = sync.NewCond(&p.mu)
	p.startAccepting(FreeListener(t))
	p.address = p.listener.Addr().String()
	t.Cleanup(p.Close)
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Listen listens again on the proxy's address after StopListening.
func (p *Proxy) Listen(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return
	}
	p.startAccepting(listenAgain(t, p.address))
}

// listenAgain listens on an address whose listener has been closed. A child process that
// was being started meanwhile holds a copy of the listener until it executes its program.
func listenAgain(t testing.TB, address string) net.Listener {
	t.Helper()
	for begin := time.Now(); ; time.Sleep(PollInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) > reopenTimeout {
			require.NoError(t, err)
		}
	}
}

func (p *Proxy) startAccepting(listener net.Listener) {
	p.listener = listener
	p.goroutines.Go(func() { p.accept(listener) })
}

// StopListening closes the listener, so that the kernel refuses new connections.
// Open connections stay.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// SetMode changes the mode of open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	p.changed.Broadcast()
}

// SetDelay delays the bytes of every read by d; 0 disables.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// CloseAfterBytes closes each connection once it has forwarded that many bytes
// towards (up) or from (down) the target, counted from its start; 0 disables.
func (p *Proxy) CloseAfterBytes(up, down int) {
	p.mu.Lock()
	p.closeAfterUp, p.closeAfterDown = up, down
	p.mu.Unlock()
}

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() { p.endConnections(func(net.Conn) {}) }

// ResetConnections closes all open connections such that both sides see a reset.
func (p *Proxy) ResetConnections() { p.endConnections(resetOnClose) }

// CutFrom resets new connections of clients with an IP address, and open ones if open is set.
func (p *Proxy) CutFrom(ip string, open bool) {
	p.mu.Lock()
	p.cut[ip] = true
	var ended []net.Conn
	for conn := range p.conns {
		if open && ipOf(conn) == ip {
			ended = append(ended, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range ended {
		resetOnClose(conn)
		_ = conn.Close()
	}
}

// EndCuts ends what CutFrom began.
func (p *Proxy) EndCuts() {
	p.mu.Lock()
	clear(p.cut)
	p.mu.Unlock()
}

// ipOf returns the IP address of a client.
func ipOf(client net.Conn) string {
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	return ip
}

func (p *Proxy) endConnections(prepare func(net.Conn)) {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[net.Conn]struct{})
	p.mu.Unlock()
	for conn := range conns {
		prepare(conn)
	}
	for conn := range conns {
		_ = conn.Close()
	}
	p.changed.Broadcast()
}

// resetOnClose makes a later close of the connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// StopWithProcess stops listening and closes all connections once the process has
// exited, so that clients see the same as without the proxy.
func (p *Proxy) StopWithProcess(process *Process) {
	ended := process.Ended()
	p.goroutines.Go(func() {
		<-ended
		p.StopListening()
		p.CloseConnections()
	})
}

// Reopen listens again after a restart of the target, whose process must have been
// passed to StopWithProcess before.
func (p *Proxy) Reopen(t testing.TB, process *Process) {
	t.Helper()
	Await(t, reopenTimeout, "the proxy to stop listening after the target's exit", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.listener == nil
	})
	p.Listen(t)
	p.StopWithProcess(process)
}

// Close stops listening, closes all connections and waits for the proxy's
// goroutines.
func (p *Proxy) Close() {
	p.StopListening()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseConnections()
	p.goroutines.Wait()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.goroutines.Done()
	defer client.Close()
	p.mu.Lock()
	mode, closed, cut := p.mode, p.closed, p.cut[ipOf(client)]
	p.mu.Unlock()
	if cut {
		resetOnClose(client)
		return
	}
	if mode == CloseNew || closed {
		return
	}
	if mode == CloseOnData {
		p.track(client)
		_, _ = client.Read(make([]byte, 1))
		p.untrack(client)
		return
	}
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	p.track(client, target)
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); p.pump(target, client, true) }()
	go func() { defer directions.Done(); p.pump(client, target, false) }()
	directions.Wait()
	p.untrack(client, target)
}

// pump forwards one direction until either side closes, and then closes both. It passes a
// reset on as one, since it is no end of an answer.
func (p *Proxy) pump(dst, src net.Conn, up bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	sent := 0
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			allowed, open := p.awaitForward(up, sent, n)
			if _, werr := dst.Write(buffer[:allowed]); werr != nil || !open {
				return
			}
			sent += allowed
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				resetOnClose(dst)
			}
			return
		}
	}
}

// awaitForward blocks while the direction is stalled and returns how many of n
// bytes to forward, and false if the connection is to be closed after them.
func (p *Proxy) awaitForward(up bool, sent, n int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isStalled(up) && !p.closed {
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
	limit := p.closeAfterDown
	if up {
		limit = p.closeAfterUp
	}
	if limit > 0 && sent+n >= limit {
		return max(0, limit-sent), false
	}
	return n, true
}

func (p *Proxy) isStalled(up bool) bool {
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

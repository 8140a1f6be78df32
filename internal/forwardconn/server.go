package forwardconn

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/outbound"
)

const (
	// maxForwarded bounds the connections that a host forwards at a time.
	maxForwarded = 256
	// copyBufferBytes is the memory for each direction of a connection.
	copyBufferBytes = 4 << 10
	// addressTimeout bounds the wait for the address of the target, helperDialTimeout that for the
	// connection to it, and then that for connections to others. The asking host waits for askTimeout.
	addressTimeout    = time.Second
	helperDialTimeout = 150 * time.Millisecond
)

// Server connects other hosts to the targets of a Dialer. Who may ask is decided by the listener that
// the connections come from.
type Server struct {
	dialer *Dialer
	log    *slog.Logger

	mu       sync.Mutex
	stopping bool          // guarded by mu
	count    int           // guarded by mu; forwarded connections
	idle     chan struct{} // closed once stopping and none is left
}

// NewServer returns a Server that connects as this host's Dialer does, without helpers. Its
// connections are those that are passed to Serve.
func NewServer(d *Dialer, log *slog.Logger) *Server {
	return &Server{dialer: d, log: log, idle: make(chan struct{})}
}

// Serve serves one connection after Preface was read from it, until it ends.
func (s *Server) Serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(addressTimeout))
	address, err := readTarget(conn)
	if err != nil {
		s.log.Info("Connection for another host without a target.", "from", conn.RemoteAddr().String(), "error", err)
		return
	}
	outcome := s.admit()
	var target net.Conn
	if outcome == outcomeConnected {
		defer s.release()
		target, outcome, err = s.connect(address)
	}
	if _, writeErr := conn.Write([]byte{outcome}); writeErr != nil || target == nil {
		s.log.Info("Connection for another host not opened.", "from", conn.RemoteAddr().String(), "target", address, "outcome", string(outcomes[outcome]), "error", err)
		if target != nil {
			_ = target.Close()
		}
		return
	}
	_ = conn.SetDeadline(time.Time{})
	pass(conn, target)
}

// admit counts one more connection unless this host forwards none.
func (s *Server) admit() byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return outcomeStopping
	case s.count >= maxForwarded:
		return outcomeBusy
	}
	s.count++
	return outcomeConnected
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
	if s.stopping && s.count == 0 {
		close(s.idle)
	}
}

// connect opens a connection to a target. If that fails, it finds out whether this host reaches other
// targets of the service: else the failure says nothing about this one.
func (s *Server) connect(address string) (net.Conn, byte, error) {
	service := s.dialer.options.Targets.Service(address)
	if service == "" {
		return nil, outcomeBusy, errUnknownTarget // the list of this host may be older
	}
	if s.dialer.detector(service).CutOff() {
		return nil, outcomeCutOff, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), helperDialTimeout)
	defer cancel()
	target, err := s.dialer.dial(ctx, service, address)
	switch {
	case err == nil:
		return target, outcomeConnected, nil
	case !s.dialer.reachesOthers(service, address):
		return nil, outcomeCutOff, err
	case outbound.IsConnectionRefused(err):
		return nil, outcomeRefused, err
	default:
		return nil, outcomeNotSent, err
	}
}

var errUnknownTarget = eris.New("no target of this host's list has the address")

// Drain opens no more connections and waits until the open ones have ended, or until ctx ends. It must
// be called once.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	if s.count == 0 {
		close(s.idle)
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}

// pass passes bytes on in both directions. When one side ends, both are closed, and a side that was
// reset or failed is passed on as a reset: an answer without a length would else look complete.
func pass(a, b net.Conn) {
	var directions sync.WaitGroup
	forward := func(to, from net.Conn) {
		// The wrapper hides ReadFrom, which would take a larger buffer.
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBufferBytes))
		if err != nil {
			reset(to)
		}
		_ = to.Close()
		_ = from.Close()
	}
	directions.Go(func() { forward(a, b) })
	directions.Go(func() { forward(b, a) })
	directions.Wait()
}

// reset closes a connection such that the peer reads no proper end, also not that of TLS.
func reset(conn net.Conn) {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

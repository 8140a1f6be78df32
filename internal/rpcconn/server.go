package rpcconn

import (
	"io"
	"net"
	"net/rpc"
	"sync"
)

// Upgrade takes over connections that carry something else than net/rpc.
type Upgrade struct {
	Preface byte                // first byte of such connections; 0 is never one of net/rpc
	Serve   func(conn net.Conn) // called after Preface was read; returns when the connection has ended
}

// Server accepts net/rpc connections until Stop.
type Server struct {
	rpc      *rpc.Server
	upgrade  *Upgrade // nil for none
	listener net.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu; nil after Stop
}

// Serve starts to accept connections for the registered services.
func Serve(listener net.Listener, services *rpc.Server) *Server {
	return ServeUpgraded(listener, services, nil)
}

// ServeUpgraded is Serve for a listener that also accepts connections of another kind, unless
// upgrade is nil.
func ServeUpgraded(listener net.Listener, services *rpc.Server, upgrade *Upgrade) *Server {
	s := &Server{rpc: services, upgrade: upgrade, listener: listener, conns: make(map[net.Conn]struct{})}
	s.done.Add(1)
	go s.accept()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections, and waits until their goroutines have
// ended.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	s.done.Wait()
}

func (s *Server) accept() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.done.Done()
	s.serveByPreface(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// serveByPreface serves a connection until it ends, and closes it.
func (s *Server) serveByPreface(conn net.Conn) {
	if s.upgrade == nil {
		s.rpc.ServeConn(conn)
		return
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		_ = conn.Close()
		return
	}
	if first[0] == s.upgrade.Preface {
		s.upgrade.Serve(conn)
		_ = conn.Close()
		return
	}
	s.rpc.ServeConn(&unreadConn{Conn: conn, unread: first})
}

// unreadConn is a connection from which bytes were read that its reader still gets.
type unreadConn struct {
	net.Conn
	unread []byte
}

// Read implements net.Conn.
func (c *unreadConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// track registers a connection for Stop. It returns false after Stop.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = struct{}{}
	s.done.Add(1)
	return true
}

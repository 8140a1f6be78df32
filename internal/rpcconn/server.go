package rpcconn

import (
	"net"
	"net/rpc"
	"sync"
)

// Server accepts net/rpc connections until Stop.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu; nil after Stop
}

// Serve starts to accept connections for the registered services.
func Serve(listener net.Listener, services *rpc.Server) *Server {
	s := &Server{rpc: services, listener: listener, conns: make(map[net.Conn]struct{})}
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
	s.rpc.ServeConn(conn) // closes conn
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
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

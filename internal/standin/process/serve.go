package process

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// readHeaderTimeout limits the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Server is an HTTP server with its own listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	log      *slog.Logger
	gate     *SilenceGate // may be nil
}

// Listen opens a listener and logs its address.
func Listen(address string, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen; set --listen to a free ip:port of this host")
	}
	log.Info("listening", "address", listener.Addr().String())
	return &Server{
		listener: listener,
		http:     &http.Server{ReadHeaderTimeout: readHeaderTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)},
		log:      log,
	}, nil
}

// GateWith makes everything that the server sends, except answers of the admin API, pass
// the gate. Call it before Run.
func (s *Server) GateWith(gate *SilenceGate) { s.gate = gate }

// Address returns the ip:port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves the handler until ctx is done. It then calls drain, waits up to grace for
// open requests and closes the remaining connections.
func (s *Server) Run(ctx context.Context, handler http.Handler, drain func(), grace time.Duration) error {
	listener := s.listener
	s.http.Handler = handler
	if s.gate != nil {
		listener = &gatedListener{Listener: listener, gate: s.gate}
		s.http.Handler, s.http.ConnContext = gated(handler), withGatedConn
	}
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	select {
	case err := <-served:
		return eris.Wrap(err, "the HTTP server stopped unexpectedly")
	case <-ctx.Done():
	}
	s.log.Info("stopping")
	drain()
	s.shutDown(grace)
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "the HTTP server stopped unexpectedly")
	}
	return nil
}

func (s *Server) shutDown(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

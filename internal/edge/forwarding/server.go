package forwarding

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/targetconn"
)

const (
	// maxForwarded bounds the requests that a host sends for others at a time.
	maxForwarded = 256
	// maxForwardedBody bounds the body of one of them, in bytes.
	maxForwardedBody = 16 << 20
	// headTimeout bounds the time for reading the head of a request, idleTimeout that between
	// two requests of a connection.
	headTimeout = time.Second
	idleTimeout = 30 * time.Second
	// copyBufferBytes is how much of a response is passed on at once.
	copyBufferBytes = 16 << 10
)

// Server sends requests to targets for other hosts, once each and without a further detour. The
// asking host has checked the API key and the request's own bounds: attempts, retry budget, crash
// suspicion and its share of the target's limit. What the target has stated to this host holds
// here. Its fields are set before Start.
type Server struct {
	Log  *slog.Logger
	Pool *targetconn.Pool
	// CutOff reports whether this host reaches no target of the service of an incarnation.
	CutOff func(incarnation string) bool
	// TimeLeft returns how long it takes until this host's process aborts the requests that it still
	// sends, and false if it was not asked to stop.
	TimeLeft func() (left time.Duration, stopping bool)
	// IsHost reports whether an address without its port is one of a host of the fleet.
	IsHost func(ip string) bool
	// Bodies is the memory for the bodies of requests.
	Bodies *memquota.Quota

	server  *http.Server
	running chan struct{} // holds one entry for each request that is being sent
}

// Start listens on address (ip:port) for requests of other hosts, or on none if it is "".
func (s *Server) Start(address string) error {
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug)}
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for forwarded requests on %s; free the port", address)
	}
	s.running = make(chan struct{}, maxForwarded)
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Drain waits until the requests that are being sent for others have ended, or until ctx ends.
func (s *Server) Drain(ctx context.Context) { _ = s.server.Shutdown(ctx) }

// Stop closes all connections.
func (s *Server) Stop() { _ = s.server.Close() }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err != nil || !s.IsHost(ip) {
		s.refuse(w, r, targetconn.ForwardBusy, errNoHost)
		return
	}
	if outcome := s.admit(); outcome != "" {
		s.refuse(w, r, outcome, nil)
		return
	}
	defer func() { <-s.running }()
	body, giveBack, err := s.readBody(r)
	if err != nil {
		s.refuse(w, r, targetconn.ForwardBusy, err)
		return
	}
	defer giveBack()
	f, err := targetconn.DecodeForwarded(r, body)
	if err != nil {
		s.refuse(w, r, targetconn.ForwardNotSent, err)
		return
	}
	switch {
	case s.CutOff(f.Incarnation):
		s.refuse(w, r, targetconn.ForwardCutOff, nil)
	case !s.fits(f.Longest):
		s.refuse(w, r, targetconn.ForwardTooLong, nil)
	default:
		s.send(w, r, f)
	}
}

// fits reports whether a request that takes so long at most, 0 if that is not known, ends before this
// host's process does.
func (s *Server) fits(longest time.Duration) bool {
	left, stopping := s.TimeLeft()
	return !stopping || longest > 0 && longest <= left
}

// admit counts one more request, unless this host can't send it.
func (s *Server) admit() targetconn.ForwardOutcome {
	if left, stopping := s.TimeLeft(); stopping && left <= 0 {
		return targetconn.ForwardStopping
	}
	select {
	case s.running <- struct{}{}:
		return ""
	default:
		return targetconn.ForwardBusy
	}
}

var (
	errNoHost       = errors.New("the sender is no host of the fleet")
	errBodyTooLarge = errors.New("body without a length or beyond its bound")
)

// readBody reads a request's body into memory that giveBack releases.
func (s *Server) readBody(r *http.Request) (body []byte, giveBack func(), err error) {
	if r.ContentLength < 0 || r.ContentLength > maxForwardedBody {
		return nil, nil, errBodyTooLarge
	}
	if giveBack, err = s.Bodies.Take(r.Context(), r.ContentLength); err != nil {
		return nil, nil, err
	}
	body = make([]byte, r.ContentLength)
	if _, err = io.ReadFull(r.Body, body); err != nil {
		giveBack()
		return nil, nil, err
	}
	return body, giveBack, nil
}

// refuse answers that nothing was sent.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, outcome targetconn.ForwardOutcome, cause error) {
	text := ""
	if cause != nil {
		text = cause.Error()
	}
	s.Log.Info("forward: request of another host not sent", "from", r.RemoteAddr, "outcome", outcome, "error", text)
	targetconn.WriteOutcome(w, outcome, http.StatusServiceUnavailable)
}

// send sends the request and passes the response on, byte for byte.
func (s *Server) send(w http.ResponseWriter, r *http.Request, f *targetconn.Forwarded) {
	log := s.Log.With("request", f.ID, "target", f.Incarnation, "from", r.RemoteAddr)
	targetconn.Acknowledge(w)
	response, err := s.Pool.Do(r.Context(), f.Incarnation, f.Address, f.Request)
	if err != nil {
		outcome := targetconn.OutcomeOf(err)
		if outcome == targetconn.ForwardNotSent && s.CutOff(f.Incarnation) {
			outcome = targetconn.ForwardCutOff
		}
		log.Info("forward: no answer to a request of another host", "outcome", outcome, "error", err.Error())
		targetconn.WriteOutcome(w, outcome, http.StatusServiceUnavailable)
		return
	}
	defer response.Close()
	edge.CopyHeader(w.Header(), response.Header)
	targetconn.WriteOutcome(w, targetconn.ForwardAnswered, response.Status)
	if err := copyBody(w, response); err != nil {
		log.Info("forward: response to a request of another host broke off", "error", err.Error())
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
}

// copyBody passes a body on, a stream's as it arrives.
func copyBody(w http.ResponseWriter, response *targetconn.Response) error {
	flush := http.NewResponseController(w).Flush
	if response.Header.Get("Content-Length") != "" {
		flush = func() error { return nil }
	}
	if err := flush(); err != nil {
		return err
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := flush(); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

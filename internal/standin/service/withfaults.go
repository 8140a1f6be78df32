package service

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/api/service"
	"corianderhitch/internal/standin/process"
)

// withFaults returns a handler that applies the injected fault to a call. A call that
// has started runs to its end even if its caller disconnects.
func (s *Server) withFaults(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.nameLimit(w.Header())
		leave, err := s.enterRoom(w.Header())
		switch {
		case errors.Is(err, http.ErrAbortHandler):
			panic(http.ErrAbortHandler)
		case err != nil:
			problem.Write(w, err)
			return
		}
		defer leave()
		injected, fault := s.takeFault(r.URL.Path)
		switch injected {
		case effectReject:
			problem.Write(w, s.leavingProblem())
			return
		case effectDropRequest:
			panic(http.ErrAbortHandler)
		}
		time.Sleep(fault.RequestDelay)
		result, err := call(r)
		time.Sleep(fault.ResponseDelay)
		switch {
		case injected == effectCrash:
			s.log.Error("exiting because of an injected fault")
			s.options.Exit()
			panic(http.ErrAbortHandler)
		case injected == effectDropResponse:
			panic(http.ErrAbortHandler)
		case injected == effectInternalError:
			http.Error(w, "internal error", http.StatusInternalServerError)
		case err != nil:
			problem.Write(w, err)
		case injected == effectUnframed, injected == effectBroken:
			writeUnframed(w, result, injected == effectBroken)
		default:
			writeJSON(w, result)
		}
	}
}

// nameLimit names the limit in the headers of an answer, if there is one.
func (s *Server) nameLimit(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit.Limited {
		h.Set(service.HeaderRequestLimit, strconv.FormatFloat(s.limit.PerSecond, 'g', -1, 64))
	}
}

// writeUnframed answers with a body that has neither a length nor chunks and ends with
// its connection. A broken one is reset after half of the body.
func writeUnframed(w http.ResponseWriter, result any, broken bool) {
	body, err := json.Marshal(result)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	if broken {
		body = body[:len(body)/2]
	}
	_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"), body...))
	if !broken {
		return
	}
	time.Sleep(flushDelay)
	if tcp, ok := process.Unwrap(conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close with a reset
	}
}

// flushDelay lets the peer read what was sent before a reset, which discards it.
const flushDelay = 50 * time.Millisecond

package service

import (
	"net/http"
	"strconv"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/api/service"
)

const (
	// rejectionWindow is the time in which rejections of a brittle service are counted.
	rejectionWindow = time.Second
	// roomRetryAfter is the Retry-After of a service without room.
	roomRetryAfter = time.Second
)

// Room is the body of PUT and GET /admin/room.
type Room struct {
	Calls   int           `json:"calls"`      // at a time; 0 for no bound
	Brittle int           `json:"brittle"`    // rejections in a second beyond which the service fails; 0 for none
	Restart time.Duration `json:"restart_ns"` // how long it is down then
	Falls   int           `json:"falls"`      // how often it has failed; ignored by PUT
}

// room bounds the calls of a service at a time. Its fields are guarded by Server.mu.
type room struct {
	Room
	running   int
	rejected  []time.Time // within rejectionWindow
	downUntil time.Time
}

// enterRoom admits one more call. leave must be called at its end unless there is no room.
func (s *Server) enterRoom(h http.Header) (leave func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.room
	now := time.Now()
	if now.Before(r.downUntil) {
		return nil, http.ErrAbortHandler
	}
	if r.Brittle > 0 {
		h.Set(service.HeaderBrittle, strconv.Itoa(r.Brittle))
		h.Set(service.HeaderRoom, strconv.Itoa(r.Calls))
	}
	if r.Calls > 0 && r.running >= r.Calls {
		return nil, r.reject(now)
	}
	r.running++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.running--
	}, nil
}

// reject returns the problem of a call without room. A brittle service fails after too many.
func (r *room) reject(now time.Time) error {
	kept := r.rejected[:0]
	for _, at := range r.rejected {
		if now.Sub(at) < rejectionWindow {
			kept = append(kept, at)
		}
	}
	r.rejected = append(kept, now)
	if r.Brittle > 0 && len(r.rejected) > r.Brittle {
		r.Falls++
		r.rejected, r.downUntil = nil, now.Add(r.Restart)
		return http.ErrAbortHandler
	}
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanNo,
		"come back after the named time", "the service has no room for another call").WithRetryAfter(roomRetryAfter)
}

// isDown reports whether a brittle service has failed and is not back yet.
func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.room.downUntil)
}

func (s *Server) getRoom(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	body := s.room.Room
	s.mu.Unlock()
	writeJSON(w, body)
}

func (s *Server) putRoom(w http.ResponseWriter, r *http.Request) {
	var body Room
	if err := decodeBody(r, &body); err != nil {
		problem.Write(w, badRequest(err.Error()))
		return
	}
	s.mu.Lock()
	body.Falls = s.room.Falls
	s.room.Room = body
	s.mu.Unlock()
	writeJSON(w, body)
}

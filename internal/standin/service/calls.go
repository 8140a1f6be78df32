package service

import "net/http"

func (s *Server) postSeatHold(r *http.Request) (any, error) {
	var body SeatHold
	if err := decodeBody(r, &body); err != nil || body.Berth == "" {
		return nil, badRequest("the body names no berth")
	}
	return s.execute(r, body.Berth, s.holds), nil
}

func (s *Server) postDispatch(r *http.Request) (any, error) {
	var body Dispatch
	if err := decodeBody(r, &body); err != nil || body.Box == "" {
		return nil, badRequest("the body names no box")
	}
	return s.execute(r, body.Box, s.dispatches), nil
}

func (s *Server) getAvailability(r *http.Request) (any, error) {
	s.record(r, r.URL.Query().Get("berth"))
	s.mu.Lock()
	defer s.mu.Unlock()
	return Availability{Service: s.options.Name, Holds: cloneCounts(s.holds)}, nil
}

func (s *Server) getHistory(r *http.Request) (any, error) {
	s.record(r, r.URL.Query().Get("box"))
	s.mu.Lock()
	defer s.mu.Unlock()
	return History{Service: s.options.Name, Dispatches: cloneCounts(s.dispatches)}, nil
}

// execute performs a non-idempotent call and counts it for its subject.
func (s *Server) execute(r *http.Request, subject string, counts map[string]int) Executed {
	s.mu.Lock()
	counts[subject]++
	s.mu.Unlock()
	return Executed{Service: s.options.Name, Execution: s.record(r, subject), Subject: subject}
}

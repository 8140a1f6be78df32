package service

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"corianderhitch/api/problem"
	"corianderhitch/internal/standin/process"
)

// Leaving is the body of PUT /admin/leaving.
type Leaving struct {
	Leaving bool `json:"leaving"`
}

// Limit is the body of PUT /admin/limit.
type Limit struct {
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second"` // calls that the answers name
}

// addAdmin registers the admin API for tests:
//
//	GET /admin/journal?after=n  []Entry
//	GET /admin/fault            Fault
//	PUT /admin/fault            Fault: replace the injected fault
//	PUT /admin/leaving          Leaving: reject new calls, or accept them again
//	PUT /admin/limit            Limit: name a limit in all answers, or none; it is not enforced
//	GET /admin/room             Room
//	PUT /admin/room             Room: bound the calls at a time, or be brittle
//	PUT /admin/silence          process.Silence: send nothing for a while
func (s *Server) addAdmin(r *mux.Router) {
	r.HandleFunc("/admin/journal", s.getJournal).Methods(http.MethodGet)
	r.HandleFunc("/admin/fault", s.getFault).Methods(http.MethodGet)
	r.HandleFunc("/admin/fault", s.putFault).Methods(http.MethodPut)
	r.HandleFunc("/admin/leaving", s.putLeaving).Methods(http.MethodPut)
	r.HandleFunc("/admin/limit", s.putLimit).Methods(http.MethodPut)
	r.HandleFunc("/admin/room", s.getRoom).Methods(http.MethodGet)
	r.HandleFunc("/admin/room", s.putRoom).Methods(http.MethodPut)
	r.HandleFunc("/admin/silence", s.putSilence).Methods(http.MethodPut)
}

func (s *Server) getJournal(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = 0
	}
	writeJSON(w, s.options.Journal.After(after))
}

func (s *Server) getFault(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	writeJSON(w, fault)
}

func (s *Server) putFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := decodeBody(r, &fault); err != nil {
		problem.Write(w, badRequest(err.Error()))
		return
	}
	s.mu.Lock()
	s.fault = fault
	s.mu.Unlock()
	writeJSON(w, fault)
}

func (s *Server) putLeaving(w http.ResponseWriter, r *http.Request) {
	var body Leaving
	if err := decodeBody(r, &body); err != nil {
		problem.Write(w, badRequest(err.Error()))
		return
	}
	s.setLeaving(body.Leaving)
	s.options.OnLeaving(body.Leaving)
	writeJSON(w, body)
}

func (s *Server) putLimit(w http.ResponseWriter, r *http.Request) {
	var body Limit
	if err := decodeBody(r, &body); err != nil {
		problem.Write(w, badRequest(err.Error()))
		return
	}
	s.mu.Lock()
	s.limit = body
	s.mu.Unlock()
	writeJSON(w, body)
}

func (s *Server) putSilence(w http.ResponseWriter, r *http.Request) {
	var body process.Silence
	if err := decodeBody(r, &body); err != nil {
		problem.Write(w, badRequest(err.Error()))
		return
	}
	s.silence.Arm(body)
	writeJSON(w, body)
}

func (s *Server) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Package service is a fake of the plain services that run alongside the engines: a
// booking application and a dispatch application in one program. It does not detect
// repeated calls, so its journal shows how often each call was executed. It is meant
// for tests and demonstrations only.
//
// Paths:
//
//	POST /seat-holds    SeatHold -> Executed; non-idempotent
//	POST /dispatches    Dispatch -> Executed; non-idempotent
//	GET  /availability  Availability; idempotent
//	GET  /history       History; idempotent
//	GET  /livez         200 while the process is alive
//	GET  /readyz        200, or 503 while the service is leaving
package service

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"corianderhitch/api/problem"
	"corianderhitch/internal/standin/journal"
	"corianderhitch/internal/standin/process"
)

const (
	// maxBodyBytes limits the body of a call.
	maxBodyBytes = 1 << 20
	// leavingRetryAfter is the Retry-After of a service that is leaving. It gives hosts
	// time to notice this and to choose another target.
	leavingRetryAfter = time.Second
)

// Options configure a Server.
type Options struct {
	Name    string // name of the target
	Journal *journal.Journal[Entry]
	Delay   time.Duration // initial Fault.RequestDelay
	// Exit exits the process for Fault.CrashNext. If nil, only the connection is closed.
	Exit      func()
	OnLeaving func(bool) // called when the admin API changes whether the service is leaving; may be nil
	Log       *slog.Logger
}

// Server is the fake service. It is safe for concurrent use.
type Server struct {
	options Options
	log     *slog.Logger
	silence *process.SilenceGate

	mu         sync.Mutex
	fault      Fault          // guarded by mu
	leaving    bool           // guarded by mu
	limit      Limit          // guarded by mu
	room       room           // guarded by mu
	holds      map[string]int // by berth; guarded by mu
	dispatches map[string]int // by box; guarded by mu
}

// New returns a service without executed calls.
func New(options Options) *Server {
	if options.Journal == nil {
		options.Journal = &journal.Journal[Entry]{}
	}
	if options.Exit == nil {
		options.Exit = func() {}
	}
	if options.OnLeaving == nil {
		options.OnLeaving = func(bool) {}
	}
	return &Server{
		options:    options,
		fault:      Fault{RequestDelay: options.Delay},
		log:        options.Log,
		silence:    process.NewSilenceGate(nil),
		holds:      make(map[string]int),
		dispatches: make(map[string]int),
	}
}

// SilenceGate returns the gate that the service's answers must pass.
func (s *Server) SilenceGate() *process.SilenceGate { return s.silence }

// Handler returns the service's paths, the health checks and the admin API.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/seat-holds", s.withFaults(s.postSeatHold)).Methods(http.MethodPost)
	r.HandleFunc("/dispatches", s.withFaults(s.postDispatch)).Methods(http.MethodPost)
	r.HandleFunc("/availability", s.withFaults(s.getAvailability)).Methods(http.MethodGet)
	r.HandleFunc("/history", s.withFaults(s.getHistory)).Methods(http.MethodGet)
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", s.getReady)
	s.addAdmin(r)
	return r
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		problem.Write(w, s.leavingProblem())
		return
	}
	w.WriteHeader(http.StatusOK)
}

// leavingProblem is the rejection sent by a service that is leaving.
func (s *Server) leavingProblem() error {
	return problem.New(problem.KindDraining, http.StatusServiceUnavailable, problem.RanNo,
		"send the request to another target", "service %s is leaving", s.options.Name).WithRetryAfter(leavingRetryAfter)
}

func badRequest(detail string) error {
	return problem.New(problem.KindBadRequest, http.StatusBadRequest, problem.RanNo, "correct the body", "%s", detail)
}

func decodeBody(r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

func cloneCounts(counts map[string]int) map[string]int {
	c := make(map[string]int, len(counts))
	for k, v := range counts {
		c[k] = v
	}
	return c
}

package engine

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/standin/process"
)

// Reclaim is the body of POST /admin/reclaim, which simulates that the platform reclaims
// the machine.
type Reclaim struct {
	Notice time.Duration `json:"notice_ns"`
}

// Leaving is the body of PUT /admin/leaving.
type Leaving struct {
	Leaving bool `json:"leaving"`
}

// Limit is the body of PUT /admin/limit.
type Limit struct {
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second"` // generations that the load reports name
}

// Memory is the body of PUT /admin/memory.
type Memory struct {
	Blocks int `json:"blocks"`
}

// CacheLoss is the body of PUT /admin/cache-loss.
type CacheLoss struct {
	Next        int     `json:"next"`        // number of upcoming cache events to drop
	Probability float64 `json:"probability"` // of dropping each event after those
}

// Slowdown is the body of PUT /admin/slowdown.
type Slowdown struct {
	Factor float64 `json:"factor"` // by which step times are multiplied
}

// Stall is the body of PUT /admin/stall.
type Stall struct {
	For time.Duration `json:"for_ns"`
}

// State is the response of GET /admin/state. Unlike GET /v1/load it has no reporting
// lag.
type State struct {
	Load  apiengine.LoadReport `json:"load"`
	Stats enginemodel.Stats    `json:"stats"`
}

// addAdmin registers the admin API for tests:
//
//	GET  /admin/journal?after=n  []Entry
//	GET  /admin/state            State
//	POST /admin/reclaim          Reclaim: start leaving immediately, stop after the notice period
//	PUT  /admin/leaving          Leaving: reject new generations, or accept them again
//	PUT  /admin/limit            Limit: name a limit in the load reports, or none; it is not enforced
//	PUT  /admin/memory           Memory: resize the KV memory
//	PUT  /admin/cache-loss       CacheLoss: drop cache events
//	PUT  /admin/slowdown         Slowdown: multiply the step times
//	PUT  /admin/stall            Stall: make no step for a while, but answer
//	PUT  /admin/silence          process.Silence: make no step and send nothing for a while
func (s *Server) addAdmin(r *mux.Router) {
	r.HandleFunc("/admin/journal", s.getJournal).Methods(http.MethodGet)
	r.HandleFunc("/admin/state", s.getState).Methods(http.MethodGet)
	r.HandleFunc("/admin/reclaim", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Reclaim) {
		e.Reclaim(now, b.Notice)
	}, func(Reclaim) { s.options.OnLeaving(true) })).Methods(http.MethodPost)
	r.HandleFunc("/admin/leaving", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Leaving) {
		e.SetLeaving(now, b.Leaving)
	}, func(b Leaving) { s.options.OnLeaving(b.Leaving) })).Methods(http.MethodPut)
	r.HandleFunc("/admin/limit", adminHandler(s, func(_ *enginemodel.Engine, _ time.Time, b Limit) {
		s.limit = b
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/memory", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Memory) {
		e.SetTotalBlocks(now, b.Blocks)
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/cache-loss", adminHandler(s, func(e *enginemodel.Engine, _ time.Time, b CacheLoss) {
		e.LoseCacheEvents(b.Next, b.Probability)
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/slowdown", adminHandler(s, func(e *enginemodel.Engine, _ time.Time, b Slowdown) {
		e.SetSlowdown(b.Factor)
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/stall", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Stall) {
		e.Silence(now.Add(b.For))
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/silence", adminHandler(s, func(*enginemodel.Engine, time.Time, process.Silence) {},
		s.silence.Arm)).Methods(http.MethodPut)
}

// adminHandler returns a handler that decodes a body of type T, applies it to the
// model and then calls the callbacks without holding the lock.
func adminHandler[T any](s *Server, apply func(*enginemodel.Engine, time.Time, T), callbacks ...func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if !decodeBody(w, r, &body) {
			return
		}
		s.mu.Lock()
		apply(s.model, time.Now(), body)
		s.mu.Unlock()
		s.wakeRunLoop()
		for _, callback := range callbacks {
			callback(body)
		}
		writeJSON(w, body)
	}
}

func (s *Server) getJournal(w http.ResponseWriter, r *http.Request) {
	after, err := parseNonNegative(r.URL.Query().Get("after"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.journalEntries(int(after)))
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := State{Load: s.model.CurrentLoad(time.Now()), Stats: s.model.Stats()}
	s.mu.Unlock()
	writeJSON(w, state)
}

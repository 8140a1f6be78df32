package engine

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// Reclaim is the body of POST /admin/reclaim.
type Reclaim struct {
	Notice time.Duration `json:"notice_ns"`
}

// Leaving is the body of PUT /admin/leaving.
type Leaving struct {
	Leaving bool `json:"leaving"`
}

// Memory is the body of PUT /admin/memory.
type Memory struct {
	Blocks int `json:"blocks"`
}

// CacheLoss is the body of PUT /admin/cache-loss.
type CacheLoss struct {
	Next        int     `json:"next"`        // events that are lost from now on
	Probability float64 `json:"probability"` // of each later one
}

// Slowdown is the body of PUT /admin/slowdown.
type Slowdown struct {
	Factor float64 `json:"factor"` // of the step time
}

// State answers GET /admin/state, without lag.
type State struct {
	Load  apiengine.LoadReport `json:"load"`
	Stats enginemodel.Stats    `json:"stats"`
}

// addAdmin adds the paths for tests:
//
//	GET  /admin/journal?after=n  []Entry
//	GET  /admin/state            State
//	POST /admin/reclaim          Reclaim: leave at once, stop after the notice
//	PUT  /admin/leaving          Leaving: refuse new generations, or accept them again
//	PUT  /admin/memory           Memory: change the KV memory
//	PUT  /admin/cache-loss       CacheLoss: lose cache events
//	PUT  /admin/slowdown         Slowdown: multiply the step time
func (s *Server) addAdmin(r *mux.Router) {
	r.HandleFunc("/admin/journal", s.getJournal).Methods(http.MethodGet)
	r.HandleFunc("/admin/state", s.getState).Methods(http.MethodGet)
	r.HandleFunc("/admin/reclaim", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Reclaim) {
		e.Reclaim(now, b.Notice)
	}, func(Reclaim) { s.options.OnLeaving(true) })).Methods(http.MethodPost)
	r.HandleFunc("/admin/leaving", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Leaving) {
		e.SetLeaving(now, b.Leaving)
	}, func(b Leaving) { s.options.OnLeaving(b.Leaving) })).Methods(http.MethodPut)
	r.HandleFunc("/admin/memory", adminHandler(s, func(e *enginemodel.Engine, now time.Time, b Memory) {
		e.SetTotalBlocks(now, b.Blocks)
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/cache-loss", adminHandler(s, func(e *enginemodel.Engine, _ time.Time, b CacheLoss) {
		e.LoseCacheEvents(b.Next, b.Probability)
	})).Methods(http.MethodPut)
	r.HandleFunc("/admin/slowdown", adminHandler(s, func(e *enginemodel.Engine, _ time.Time, b Slowdown) {
		e.SetSlowdown(b.Factor)
	})).Methods(http.MethodPut)
}

// change returns a handler that applies a body of type T to the model, and calls
// then behind it.
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

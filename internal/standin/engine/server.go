// Package engine serves enginemodel over HTTP in real time, as api/engine
// describes, with a journal and faults under /admin. For tests and demonstration
// only.
package engine

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gorilla/mux"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/standin/journal"
)

const (
	// defaultRetention keeps ended generations for readers that come back.
	defaultRetention = time.Minute
	// traceHeader carries the W3C trace context.
	traceHeader = "Traceparent"
)

// End tells why an engine has ended by itself.
type ExitReason string

// The ends of an engine.
const (
	ExitCrashed   ExitReason = "crashed"
	ExitReclaimed ExitReason = "reclaimed"
)

// Options configure a Server.
type Options struct {
	Model     enginemodel.Config
	Retention time.Duration // of ended generations; zero means one minute
	Journal   *journal.Journal[Entry]
	OnExit    func(ExitReason) // called once when the engine crashes or is reclaimed; nil does nothing
	OnLeaving func(bool)       // called when a test makes the engine leave or stay; nil does nothing
	Log       *slog.Logger
}

// Server is the HTTP face of an engine. Run must be called for it to advance.
type Server struct {
	options Options
	log     *slog.Logger
	wakeup  chan struct{}

	mu          sync.Mutex
	model       *enginemodel.Engine    // guarded by mu
	generations map[string]*generation // guarded by mu
	lastSweep   time.Time              // guarded by mu
}

// New returns a server. Call Run to let it advance.
func New(options Options) *Server {
	if options.Retention == 0 {
		options.Retention = defaultRetention
	}
	if options.OnExit == nil {
		options.OnExit = func(ExitReason) {}
	}
	if options.OnLeaving == nil {
		options.OnLeaving = func(bool) {}
	}
	if options.Journal == nil {
		options.Journal = &journal.Journal[Entry]{}
	}
	return &Server{
		options:     options,
		log:         options.Log,
		wakeup:      make(chan struct{}, 1),
		model:       enginemodel.New(options.Model),
		generations: make(map[string]*generation),
	}
}

// Run advances the engine until ctx ends, it crashes or it is reclaimed.
func (s *Server) Run(ctx context.Context) { s.run(ctx) }

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/generations", s.startGeneration).Methods(http.MethodPost)
	r.HandleFunc("/v1/generations/{id}", s.attachToGeneration).Methods(http.MethodGet)
	r.HandleFunc("/v1/generations/{id}", s.cancelGeneration).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", s.getCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", s.applyOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", s.getOrderState).Methods(http.MethodGet)
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.addAdmin(r)
	return r
}

func (s *Server) startGeneration(w http.ResponseWriter, r *http.Request) {
	var request apiengine.GenerateRequest
	if !decodeBody(w, r, &request) {
		return
	}
	g, err := s.startOrFind(request, r.Header.Get(traceHeader))
	if err != nil {
		problem.Write(w, err)
		return
	}
	s.streamGeneration(w, r, g, max(0, request.Offset))
}

// startOrAttach starts a generation unless it is known already.
func (s *Server) startOrFind(r apiengine.GenerateRequest, trace string) (*generation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.generations[r.ID]; g != nil {
		return g, nil
	}
	now := time.Now()
	if err := s.model.Start(now, r); err != nil {
		return nil, err
	}
	g := newGeneration(r)
	s.generations[r.ID] = g
	s.record(now, Entry{
		Kind: EntryStart, Generation: r.ID, RequestID: r.RequestID,
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Prefix: len(r.Prefix), Tokens: len(r.Prefix), Trace: trace,
	})
	s.wakeRunLoop()
	return g, nil
}

func (s *Server) attachToGeneration(w http.ResponseWriter, r *http.Request) {
	offset, err := parseNonNegative(r.URL.Query().Get("offset"))
	if err != nil {
		problem.Write(w, err)
		return
	}
	s.mu.Lock()
	g := s.generations[generationID(r)]
	s.mu.Unlock()
	if g == nil {
		problem.Write(w, problem.New(problem.KindNotFound, http.StatusNotFound, problem.RanUnknown,
			"start the generation anew if it may be repeated", "this engine does not know the generation"))
		return
	}
	s.streamGeneration(w, r, g, int(offset))
}

func (s *Server) cancelGeneration(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	id := generationID(r)
	if tokens, ok := s.model.Cancel(now, id); ok {
		g := s.generations[id]
		s.record(now, Entry{Kind: EntryEnd, Generation: id, RequestID: g.requestID, Tokens: tokens, Reason: string(apiengine.FinishCanceled)})
		g.finish(now, apiengine.FinishCanceled)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.model.Load(time.Now())
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := parseNonNegative(r.URL.Query().Get("after"))
	if err != nil {
		problem.Write(w, err)
		return
	}
	s.mu.Lock()
	events := s.model.CacheEvents(time.Now(), after)
	s.mu.Unlock()
	writeJSON(w, events)
}

func (s *Server) applyOrder(w http.ResponseWriter, r *http.Request) {
	var order apiengine.Order
	if !decodeBody(w, r, &order) {
		return
	}
	s.mu.Lock()
	now := time.Now()
	result, err := s.model.Order(now, order)
	s.record(now, Entry{Kind: EntryOrder, Fence: order.Fence, Order: &order, Rejected: err != nil})
	s.mu.Unlock()
	if err != nil {
		problem.Write(w, err)
		return
	}
	writeJSON(w, result)
}

func (s *Server) getOrderState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.model.OrderState(time.Now())
	s.mu.Unlock()
	writeJSON(w, state)
}

// generationID returns the id in the path, which may hold any character.
func generationID(r *http.Request) string {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return id
}

// busy reports whether a generation is waiting or running.
func (s *Server) hasActiveGenerations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.model.CurrentLoad(time.Now())
	return load.Running+load.Waiting > 0
}

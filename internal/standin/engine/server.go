// Package engine is a fake model engine: it serves enginemodel over HTTP in real
// time, with the API of api/engine, and adds a journal of executions and fault
// injection under /admin. It is meant for tests and demonstrations only.
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
	"corianderhitch/internal/standin/process"
)

const (
	// defaultRetention is how long a finished generation stays readable, so that a
	// reader that lost its connection can fetch the rest.
	defaultRetention = time.Minute
	// traceHeader carries the W3C trace context.
	traceHeader = "Traceparent"
)

// ExitReason says why an engine stopped before the context of Server.Run ended.
type ExitReason string

// The reasons for which an engine stops.
const (
	ExitCrashed   ExitReason = "crashed"
	ExitReclaimed ExitReason = "reclaimed" // the platform reclaimed the machine
)

// Options configure a Server.
type Options struct {
	Model     enginemodel.Config
	Retention time.Duration // how long finished generations stay readable; zero means one minute
	Journal   *journal.Journal[Entry]
	OnExit    func(ExitReason) // called once when the engine crashes or is reclaimed; may be nil
	OnLeaving func(bool)       // called when the admin API changes whether the engine is leaving; may be nil
	Log       *slog.Logger
}

// Server serves one simulated engine over HTTP. Run drives the engine; the handlers
// may be called concurrently with it.
type Server struct {
	options Options
	log     *slog.Logger
	wakeup  chan struct{}
	silence *process.SilenceGate

	mu          sync.Mutex
	model       *enginemodel.Engine    // guarded by mu
	generations map[string]*generation // guarded by mu
	lastSweep   time.Time              // guarded by mu
	limit       Limit                  // guarded by mu
}

// New returns a server. Its engine makes no progress until Run is called.
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
	s := &Server{
		options:     options,
		log:         options.Log,
		wakeup:      make(chan struct{}, 1),
		model:       enginemodel.New(options.Model),
		generations: make(map[string]*generation),
	}
	s.silence = process.NewSilenceGate(s.stallUntil)
	return s
}

// SilenceGate returns the gate that the engine's answers must pass.
func (s *Server) SilenceGate() *process.SilenceGate { return s.silence }

// stallUntil makes the engine make no step before the given time.
func (s *Server) stallUntil(end time.Time) {
	s.mu.Lock()
	s.model.Silence(end)
	s.mu.Unlock()
	s.wakeRunLoop()
}

// Run advances the engine in real time until ctx is done, the engine crashes or it
// is reclaimed. After a crash or reclaim it calls Options.OnExit.
func (s *Server) Run(ctx context.Context) { s.run(ctx) }

// Handler returns the engine API, /livez and the admin API.
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

// startOrFind starts a generation, or returns the existing one if its id is known.
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

// attachToGeneration streams a known generation from the offset in the query.
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
	report.Limited, report.RequestLimit = s.limit.Limited, s.limit.PerSecond
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

// applyOrder passes an order to the engine model and records it with its outcome.
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

// generationID returns the unescaped id of the path, which may contain any
// character, or an empty id if the escaping is invalid.
func generationID(r *http.Request) string {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return id
}

// hasActiveGenerations reports whether a generation is waiting or running.
func (s *Server) hasActiveGenerations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.model.CurrentLoad(time.Now())
	return load.Running+load.Waiting > 0
}

// Package api serves callers: completions, late answers and plain services.
package api

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"corianderhitch/api/control"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/limits"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/gateway/runner"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/resumetoken"
)

// Keys returns the keys of resume tokens in force.
type Keys interface{ Current() *resumetoken.Keyring }

// Settings bound what callers may send and take.
type Settings struct {
	MaxBodyBytes int64
	// SlowCaller is the longest wait for a caller to take a batch of tokens.
	SlowCallerTimeout time.Duration
	// TokenLife is how long resume tokens are valid.
	TokenLifetime time.Duration
}

// View is what the server needs of the link to the agents.
type Fleet interface {
	View() *fleet.View
	Lookup(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool)
	LookupWithRetry(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool)
}

// Runner runs generations.
type Runner interface {
	Run(ctx context.Context, job runner.Job, sink runner.Sink) runner.Result
	Cancel(ctx context.Context, target platform.Target, generation string) error
}

// Server serves callers. Call Drain, then Wait, before the process ends.
type Server struct {
	settings Settings
	view     Fleet
	runner   Runner
	late     LateDelivery
	calls    ServiceCaller
	services http.Handler
	keys     Keys
	limits   *limits.Limiter
	metrics  *metrics.Metrics
	log      *slog.Logger

	draining atomic.Bool
	mu       sync.Mutex
	running  sync.WaitGroup
}

// Parts are what a Server is made of.
type Dependencies struct {
	Settings Settings
	Fleet    Fleet
	Runner   Runner
	Late     LateDelivery
	Services ServiceCaller
	Keys     Keys
	Metrics  *metrics.Metrics
	Log      *slog.Logger
}

// New returns a Server.
func New(p Dependencies) *Server {
	s := &Server{
		settings: p.Settings, view: p.Fleet, runner: p.Runner, late: p.Late, calls: p.Services,
		keys: p.Keys, limits: limits.New(), metrics: p.Metrics, log: p.Log,
	}
	s.services = s.serviceHandler(p.Services)
	return s
}

// Register adds the callers' routes.
func (s *Server) Register(router *mux.Router) {
	router.Handle("/v1/completions", s.accountOnly("completion", s.create)).Methods(http.MethodPost)
	router.Handle("/v1/completions/{id}", s.accountOnly("fetch", s.fetch)).Methods(http.MethodGet)
	router.Handle("/v1/completions/{id}", s.accountOnly("cancel", s.remove)).Methods(http.MethodDelete)
	router.PathPrefix("/services/{service}").Handler(s.services)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
}

// Drain refuses new requests from now on. Requests in progress are not touched.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
}

// Draining tells whether new requests are refused.
func (s *Server) Draining() bool { return s.draining.Load() }

// Wait waits until no request is in progress. Call it after Drain.
func (s *Server) Wait() { s.running.Wait() }

// enter counts a request in progress, unless the server drains.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.running.Add(1)
	return true
}

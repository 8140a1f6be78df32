// Package api is the HTTP API for callers: completions, late answers and plain services.
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

// Keys returns the keyring that signs and verifies resume tokens now. Key files may
// change at run time.
type Keys interface{ Current() *resumetoken.Keyring }

// Settings are the limits on callers.
type Settings struct {
	MaxBodyBytes int64
	// SlowCallerTimeout is the longest wait for a caller to read a batch of tokens.
	SlowCallerTimeout time.Duration
	// TokenLifetime is how long resume tokens are valid.
	TokenLifetime time.Duration
}

// Fleet is what the server needs to know of documents and running generations. Its
// implementation asks the agents.
type Fleet interface {
	View() *fleet.View
	// Lookup returns the directory entry of a request id. It reports false also if no
	// agent answers.
	Lookup(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool)
	// LookupWithRetry is Lookup that tries for longer before it reports false.
	LookupWithRetry(ctx context.Context, account, requestID string) (control.DirectoryEntry, bool)
}

// Runner runs generations.
type Runner interface {
	Run(ctx context.Context, job runner.Job, sink runner.Sink) runner.Result
	Cancel(ctx context.Context, target platform.Target, generation string) error
}

// Server serves callers. Call Drain, then Wait, before the process ends. It is safe for
// concurrent use.
type Server struct {
	settings      Settings
	fleet         Fleet
	runner        Runner
	late          LateDelivery
	serviceCaller ServiceCaller
	services      http.Handler
	keys          Keys
	limits        *limits.Limiter
	metrics       *metrics.Metrics
	log           *slog.Logger

	draining   atomic.Bool
	mu         sync.Mutex // held to start draining and to add to inProgress, so that Wait misses no request
	inProgress sync.WaitGroup
}

// Dependencies are what a Server needs. All are required.
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
func New(deps Dependencies) *Server {
	s := &Server{
		settings: deps.Settings, fleet: deps.Fleet, runner: deps.Runner, late: deps.Late, serviceCaller: deps.Services,
		keys: deps.Keys, limits: limits.New(), metrics: deps.Metrics, log: deps.Log,
	}
	s.services = s.serviceHandler(deps.Services)
	return s
}

// Register adds the callers' routes.
func (s *Server) Register(router *mux.Router) {
	router.Handle("/v1/completions", s.withAccount("completion", s.create)).Methods(http.MethodPost)
	router.Handle("/v1/completions/{id}", s.withAccount("fetch", s.fetch)).Methods(http.MethodGet)
	router.Handle("/v1/completions/{id}", s.withAccount("cancel", s.cancel)).Methods(http.MethodDelete)
	router.PathPrefix("/services/{service}").Handler(s.services)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
}

// Drain makes the server reject new requests from now on. Requests in progress go on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
}

// Draining reports whether new requests are rejected.
func (s *Server) Draining() bool { return s.draining.Load() }

// Wait waits until no request is in progress. Call it after Drain only.
func (s *Server) Wait() { s.inProgress.Wait() }

// beginRequest counts a request in progress, or reports false if the server drains.
// The caller must call inProgress.Done at the end.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.inProgress.Add(1)
	return true
}

package api

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
	"corianderhitch/internal/gateway/execution"
	"corianderhitch/internal/gateway/fleet"
)

// request is one authenticated request of a caller.
type request struct {
	*http.Request
	view    *fleet.View
	account *document.Account
	started time.Time
}

// handler answers a request. A returned error is sent as a problem document.
type handler func(w http.ResponseWriter, r *request) error

// tracer names the spans of the gateway.
var tracer = otel.Tracer("corianderhitch/gateway")

// accountOnly authenticates, limits, counts and traces the requests of h.
func (s *Server) accountOnly(kind string, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(hr.Context(), propagation.HeaderCarrier(hr.Header))
		ctx, span := tracer.Start(ctx, "gateway "+kind, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		defer s.metrics.TrackInProgress()()
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Time{})
		defer func() { _ = control.SetWriteDeadline(time.Now().Add(s.settings.SlowCallerTimeout)) }()
		err := s.serve(w, hr.WithContext(ctx), kind, h)
		outcome := "ok"
		if err != nil {
			e := problem.From(err)
			outcome = string(e.Kind)
			if e.Cause != nil {
				s.log.Debug("request failed", "kind", e.Kind, "ran", e.Ran, "error", e.Cause)
			}
			if e.Kind == problem.KindInternal {
				s.log.Error("request failed by an unexpected error", "error", err)
			}
			problem.Write(w, e)
		}
		span.SetAttributes(attribute.String("outcome", outcome))
		s.metrics.RecordRequest(kind, outcome)
	})
}

func (s *Server) serve(w http.ResponseWriter, hr *http.Request, kind string, h handler) error {
	r, err := s.authenticate(hr)
	if err != nil {
		return err
	}
	if !s.enter() {
		w.Header().Set("Connection", "close")
		return s.refused(r, draining())
	}
	defer s.running.Done()
	if kind == "completion" || kind == "service" {
		leave, err := s.limits.Acquire(r.account.Name, r.account.Limits, r.started)
		if err != nil {
			return s.refused(r, problem.From(err))
		}
		defer leave()
	}
	return h(w, r)
}

// refused takes back a "not run" if an earlier sending with the same key may have
// run.
func (s *Server) refused(r *request, e *problem.Error) *problem.Error {
	key, err := idempotencyKey(r.Request)
	if err != nil || key == "" {
		return e
	}
	earlier := false
	if service := mux.Vars(r.Request)["service"]; service != "" {
		earlier = s.calls.MayHaveRun(r.Context(), r.account.Name, service, key)
	} else {
		_, earlier = s.view.Lookup(r.Context(), r.account.Name, key)
	}
	if !earlier {
		return e
	}
	known := *e
	known.Ran = execution.Ran(execution.Evidence{EarlierMayHaveRun: true})
	return &known
}

func (s *Server) authenticate(hr *http.Request) (*request, error) {
	view := s.view.View()
	if view.Index == nil {
		return nil, notReady()
	}
	scheme, key, _ := strings.Cut(hr.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil, unauthenticated()
	}
	account, ok := view.Index.AccountByKey(strings.TrimSpace(key))
	if !ok {
		return nil, unauthenticated()
	}
	return &request{Request: hr, view: view, account: account, started: time.Now()}, nil
}

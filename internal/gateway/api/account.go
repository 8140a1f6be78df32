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

// request is a caller's request after authentication, with the view of the fleet as
// it was on arrival.
type request struct {
	*http.Request
	view       *fleet.View
	account    *document.Account
	receivedAt time.Time
}

// handler answers a request. A returned error is sent as a problem document.
type handler func(w http.ResponseWriter, r *request) error

// tracer names the spans of the gateway.
var tracer = otel.Tracer("corianderhitch/gateway")

// withAccount wraps h with what all routes share: authentication, the account's
// limits, metrics, a trace span and the writing of problem documents. kind names
// the route in metrics and spans. The write deadline that the previous request has left
// on the connection is cleared; a new one at the end bounds the flush to a slow caller.
func (s *Server) withAccount(kind string, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(hr.Context(), propagation.HeaderCarrier(hr.Header))
		ctx, span := tracer.Start(ctx, "gateway "+kind, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		defer s.metrics.TrackInProgress()()
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Time{})
		defer func() { _ = control.SetWriteDeadline(time.Now().Add(s.settings.SlowCallerTimeout)) }()
		err := s.admitAndServe(w, hr.WithContext(ctx), kind, h)
		outcome := "ok"
		if err != nil {
			e := problem.From(err)
			outcome = string(e.Kind)
			if e.Cause != nil {
				s.log.Debug("request failed", "kind", e.Kind, "ran", e.Ran, "error", e.Cause)
			}
			if e.Kind == problem.KindInternal {
				s.log.Error("request failed with an unexpected error", "error", err)
			}
			problem.Write(w, e)
		}
		span.SetAttributes(attribute.String("outcome", outcome))
		s.metrics.RecordRequest(kind, outcome)
	})
}

// admitAndServe authenticates the request and runs h, unless the server drains or the
// account's limits are reached.
func (s *Server) admitAndServe(w http.ResponseWriter, hr *http.Request, kind string, h handler) error {
	r, err := s.authenticate(hr)
	if err != nil {
		return err
	}
	if !s.beginRequest() {
		w.Header().Set("Connection", "close")
		return s.correctRan(r, draining())
	}
	defer s.inProgress.Done()
	if kind == "completion" || kind == "service" {
		release, err := s.limits.Acquire(r.account.Name, r.account.Limits, r.receivedAt)
		if err != nil {
			return s.correctRan(r, problem.From(err))
		}
		defer release()
	}
	return h(w, r)
}

// correctRan changes the "not run" of a rejection to "unknown" if an earlier request
// with the same Idempotency-Key may have run: "not run" must hold for the key, not
// only for this attempt.
func (s *Server) correctRan(r *request, e *problem.Error) *problem.Error {
	key, err := idempotencyKey(r.Request)
	if err != nil || key == "" {
		return e
	}
	mayHaveRun := false
	if service := mux.Vars(r.Request)["service"]; service != "" {
		mayHaveRun = s.serviceCaller.MayHaveRun(r.Context(), r.account.Name, service, key)
	} else {
		_, mayHaveRun = s.fleet.Lookup(r.Context(), r.account.Name, key)
	}
	if !mayHaveRun {
		return e
	}
	corrected := *e
	corrected.Ran = execution.Ran(execution.Evidence{EarlierMayHaveRun: true})
	return &corrected
}

// authenticate finds the account of the request's bearer key.
func (s *Server) authenticate(hr *http.Request) (*request, error) {
	view := s.fleet.View()
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
	return &request{Request: hr, view: view, account: account, receivedAt: time.Now()}, nil
}

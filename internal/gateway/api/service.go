package api

import (
	"context"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Account string
	Service string
	Route   *document.Route
	Method  string
	Path    string // decoded path below the service, as it was routed
	Query   string
	Header  http.Header
	Body    []byte
	Key     string // Idempotency-Key, "" if none
}

// ServiceAnswer is a target's answer.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // stored answer of an earlier request with the same key
}

// ServiceCaller sends calls to plain services. Errors are *problem.Error.
type ServiceCaller interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
	// MayHaveRun reports whether an earlier request with the key may have run.
	MayHaveRun(ctx context.Context, account, service, key string) bool
}

// replayedHeader marks the stored answer of an earlier request with the same key.
const replayedHeader = "Idempotent-Replayed"

// serviceHandler returns the handler of calls to plain services.
func (s *Server) serviceHandler(caller ServiceCaller) http.Handler {
	return s.withAccount("service", func(w http.ResponseWriter, r *request) error {
		call, err := s.serviceCall(w, r)
		if err != nil {
			return err
		}
		answer, err := caller.Call(r.Context(), call)
		if err != nil {
			return err
		}
		for name, values := range answer.Header {
			w.Header()[name] = values
		}
		if answer.Replayed {
			w.Header().Set(replayedHeader, "true")
		}
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
		return nil
	})
}

// serviceCall checks a request against the account's services and the service's routes
// and reads its body.
func (s *Server) serviceCall(w http.ResponseWriter, r *request) (ServiceCall, error) {
	service := mux.Vars(r.Request)["service"]
	if !r.view.Index.MayCall(r.account.Name, service) {
		return ServiceCall{}, problem.New(problem.KindForbidden, http.StatusForbidden, problem.RanNo,
			"call a service that the environment document grants to your account",
			"your account may not call the service %q", service)
	}
	prefix := "/services/" + service
	path := strings.TrimPrefix(r.URL.Path, prefix)
	route, ok := r.view.Index.Route(service, r.Method, path)
	if !ok {
		return ServiceCall{}, problem.New(problem.KindNotFound, http.StatusNotFound, problem.RanNo,
			"use a route of the environment document", "the service %q has no route %s %q", service, r.Method, path)
	}
	key, err := idempotencyKey(r.Request)
	if err != nil {
		return ServiceCall{}, err
	}
	if key == "" && !route.Idempotent {
		return ServiceCall{}, badRequest("this call may not be repeated and needs an Idempotency-Key")
	}
	body, err := readBody(w, r.Request, s.settings.MaxBodyBytes)
	if err != nil {
		return ServiceCall{}, err
	}
	return ServiceCall{
		Account: r.account.Name, Service: service, Route: route, Method: r.Method,
		Path: path, Query: r.URL.RawQuery,
		Header: r.Header, Body: body, Key: key,
	}, nil
}

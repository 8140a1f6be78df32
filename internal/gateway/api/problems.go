package api

import (
	"net/http"
	"time"

	"corianderhitch/api/problem"
)

// unavailableRetryAfter is the Retry-After of a gateway that drains or has no document
// yet. By then the load balancer sends the caller to another gateway.
const unavailableRetryAfter = 1 * time.Second

func draining() *problem.Error {
	return problem.New(problem.KindDraining, http.StatusServiceUnavailable, problem.RanNo,
		"send the request again; the balancer chooses another gateway",
		"this gateway stops and takes no new requests").WithRetryAfter(unavailableRetryAfter)
}

func notReady() *problem.Error {
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanNo,
		"come back after the named time", "this gateway has no environment document yet").WithRetryAfter(unavailableRetryAfter)
}

func unauthenticated() *problem.Error {
	return problem.New(problem.KindUnauthenticated, http.StatusUnauthorized, problem.RanNo,
		"send the header Authorization: Bearer with a valid key of your account",
		"the key is missing or belongs to no account")
}

func badRequest(detail string, args ...any) *problem.Error {
	return problem.New(problem.KindBadRequest, http.StatusBadRequest, problem.RanNo,
		"correct the request and send it again", detail, args...)
}

func tooLarge(limit int64) *problem.Error {
	return problem.New(problem.KindTooLarge, http.StatusRequestEntityTooLarge, problem.RanNo,
		"send a smaller body", "the body exceeds %d bytes", limit)
}

func unknownModel(model, adapter string) *problem.Error {
	return problem.New(problem.KindUnknownModel, http.StatusNotFound, problem.RanNo,
		"use a model and adapter that the environment document grants to your account",
		"your account has no model %q with adapter %q", model, adapter)
}

func unknownRequest(id string) *problem.Error {
	return problem.New(problem.KindNotFound, http.StatusNotFound, problem.RanUnknown,
		"check the id, or send the request again with the same Idempotency-Key",
		"no answer is kept and no generation is known for the id %q", id)
}

func badResumeToken() *problem.Error {
	return problem.New(problem.KindBadResumeToken, http.StatusBadRequest, problem.RanUnknown,
		"resume without Last-Event-ID by the request id",
		"the resume token is damaged, expired or of another account")
}

func notFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.New(problem.KindNotFound, http.StatusNotFound, problem.RanNo,
		"use a path of api/completion", "there is nothing at %q", r.URL.Path))
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.New(problem.KindBadRequest, http.StatusMethodNotAllowed, problem.RanNo,
		"use a method of api/completion", "the method %s is not served at %q", r.Method, r.URL.Path))
}

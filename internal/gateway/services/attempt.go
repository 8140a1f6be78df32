package services

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/execution"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

// maxAnswerBytes bounds the body of a plain service's answer.
const maxAnswerBytes = 8 << 20

// errIncompleteAnswer means that the body of an answer ended before it was complete.
var errIncompleteAnswer = eris.New("services: the answer of the target is incomplete; the call may have been executed")

// errAnswerTooLarge means that an answer exceeds maxAnswerBytes.
var errAnswerTooLarge = eris.New("services: the answer of the target exceeds 8 MiB; ask the service for a smaller one")

// headersToTarget are the request headers that are passed from callers to targets.
var headersToTarget = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// headersToCaller are the response headers that are passed from targets to callers.
var headersToCaller = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location", "Retry-After", "Cache-Control"}

// accountHeader carries the client account of the call to the service.
const accountHeader = "X-Client-Account"

// attempt is one try of a call at one target, and its result.
type attempt struct {
	target  platform.Target
	answer  api.ServiceAnswer
	problem *problem.Error // the target's problem document, if it sent one
	err     error          // set if there is no complete answer
}

func newRequest(ctx context.Context, call api.ServiceCall, target platform.Target) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: target.Address, Path: call.Path, RawQuery: call.Query}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for _, name := range headersToTarget {
		if values := call.Header.Values(name); len(values) > 0 {
			req.Header[http.CanonicalHeaderKey(name)] = values
		}
	}
	req.Header.Set(accountHeader, call.Account)
	return req, nil
}

// read reads the target's answer into the attempt and closes the body.
func (a *attempt) read(ctx context.Context, service string, resp *http.Response, memory *answerMemory) {
	defer func() { _ = resp.Body.Close() }()
	body, err := memory.readBody(ctx, service, resp)
	if errors.Is(err, errAnswerTooLarge) || errors.Is(err, errNoMemory) {
		a.err = err
		return
	}
	if err != nil {
		a.err = eris.Wrap(errIncompleteAnswer, err.Error())
		return
	}
	a.answer = api.ServiceAnswer{Status: resp.StatusCode, Header: make(http.Header), Body: body}
	for _, name := range headersToCaller {
		if values := resp.Header.Values(name); len(values) > 0 {
			a.answer.Header[http.CanonicalHeaderKey(name)] = values
		}
	}
	a.readProblem(resp.Header.Get("Content-Type"), body)
}

func (a *attempt) readProblem(contentType string, body []byte) {
	if contentType != problem.ContentType {
		return
	}
	var document problem.Document
	if json.Unmarshal(body, &document) == nil && document.Kind != "" {
		a.problem = problem.FromDocument(document)
	}
}

// notSent reports whether it is certain that no byte was sent.
func (a *attempt) notSent() bool { return errors.Is(a.err, outbound.ErrNotSent) }

// rejected reports whether the target answered that it did not run the call.
func (a *attempt) rejected() bool {
	return a.err == nil && a.problem != nil && a.problem.Ran == problem.RanNo
}

// foundNoRoom reports whether the target answered that it has no room for the call.
func (a *attempt) foundNoRoom() bool {
	return a.rejected() && a.problem.Kind == problem.KindOverloaded
}

// notExecuted reports whether it is certain that the target did not run the call, so
// that another attempt can't run it twice.
func (a *attempt) notExecuted() bool { return a.notSent() || a.rejected() }

// worthRetrying reports whether another target may give a better result.
func (a *attempt) worthRetrying() bool {
	if a.err != nil {
		return !errors.Is(a.err, errAnswerTooLarge)
	}
	return a.rejected() && a.answer.Status == http.StatusServiceUnavailable
}

// evidence returns what the attempt proves about the execution of the call.
func (a *attempt) evidence() execution.Evidence {
	return execution.Evidence{
		Dispatched:            !a.notSent(),
		RejectedBeforeRunning: a.rejected(),
		Answered:              a.err == nil && !a.rejected() || errors.Is(a.err, errAnswerTooLarge),
	}
}

// failureProblem returns the error for the caller of an attempt without a usable
// answer: the target's own problem if it sent one.
func (a *attempt) failureProblem() *problem.Error {
	ran := execution.Ran(a.evidence())
	if a.problem != nil {
		return a.problem
	}
	remedy := "come back with the same Idempotency-Key, if the call may be repeated; otherwise check at the service"
	if ran == problem.RanNo {
		remedy = "come back after the named time with the same Idempotency-Key"
	}
	return problem.New(problem.KindTargetFailed, http.StatusBadGateway, ran, remedy,
		"the target gave no whole answer").WithRetryAfter(noTargetRetryAfter).WithCause(a.err)
}

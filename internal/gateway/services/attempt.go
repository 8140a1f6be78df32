package services

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/gateway/execution"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 8 << 20

// errCut means that an answer ended before its whole body arrived.
var errCut = eris.New("services: the answer of the target was cut; the call may have been executed")

// errAnswerTooLarge means that an answer exceeds maxAnswerBytes.
var errAnswerTooLarge = eris.New("services: the answer of the target exceeds 8 MiB; ask the service for a smaller one")

// headersToTarget are passed on from callers.
var headersToTarget = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// headersToCaller are passed back from targets.
var headersToCaller = []string{"Content-Type", "Content-Language", "ETag", "Last-Modified", "Location", "Retry-After", "Cache-Control"}

// accountHeader tells the service on whose behalf it is called.
const accountHeader = "X-Client-Account"

// attempt is one sending of a call to one target.
type attempt struct {
	target  platform.Target
	answer  api.ServiceAnswer
	problem *problem.Error // the target's problem document, if it sent one
	err     error          // no whole answer
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

// read takes the target's whole answer.
func (a *attempt) read(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		a.err = eris.Wrap(errCut, err.Error())
		return
	}
	if len(body) > maxAnswerBytes {
		a.err = errAnswerTooLarge
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

// notSent tells whether surely no byte left.
func (a *attempt) notSent() bool { return errors.Is(a.err, outbound.ErrNotSent) }

// refused tells whether the target said that it did not run the call.
func (a *attempt) refused() bool {
	return a.err == nil && a.problem != nil && a.problem.Ran == problem.RanNo
}

// surelyNotRun tells whether the call may be sent elsewhere without running twice.
func (a *attempt) surelyNotRun() bool { return a.notSent() || a.refused() }

// movable tells whether another target may answer better.
func (a *attempt) movable() bool {
	if a.err != nil {
		return !errors.Is(a.err, errAnswerTooLarge)
	}
	return a.refused() && a.answer.Status == http.StatusServiceUnavailable
}

// evidence is what the attempt proves.
func (a *attempt) evidence() execution.Evidence {
	return execution.Evidence{
		Dispatched:            !a.notSent(),
		RejectedBeforeRunning: a.refused(),
		Answered:              a.err == nil && !a.refused() || errors.Is(a.err, errAnswerTooLarge),
	}
}

// failure is the final answer for a call without a whole answer of a target.
func (a *attempt) failure() *problem.Error {
	ran := execution.Ran(a.evidence())
	if a.problem != nil {
		return a.problem
	}
	remedy := "come back with the same Idempotency-Key, if the call may be repeated; otherwise check at the service"
	if ran == problem.RanNo {
		remedy = "come back after the named time with the same Idempotency-Key"
	}
	return problem.New(problem.KindTargetFailed, http.StatusBadGateway, ran, remedy,
		"the target gave no whole answer").WithRetryAfter(noTargetRetry).WithCause(a.err)
}

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
)

// Caller sends the requests of a plan. It is safe for concurrent use.
type Caller interface {
	// Call sends one request and reads its response to the end. It does not
	// return while the request may still produce tokens.
	Call(ctx context.Context, a Arrival) Outcome
}

// GatewayCaller spreads requests over gateways by a hash of their idempotency key.
type GatewayCaller struct {
	Gateways []string // base URLs
	Keys     []string // API keys of the client accounts, indexed by Arrival.Account
	Model    string
	Service  string
	Client   *http.Client
}

// Call implements Caller. Like the platform's load balancer, it passes a request that
// a draining or stopped gateway rejected to the next gateway.
func (c *GatewayCaller) Call(ctx context.Context, a Arrival) Outcome {
	var outcome Outcome
	for attempt := range c.Gateways {
		outcome = c.call(ctx, a, attempt)
		if outcome.RejectionKind != string(problem.KindDraining) {
			break
		}
	}
	return outcome
}

// call sends the request of an arrival to the gateway of this attempt and returns its
// outcome.
func (c *GatewayCaller) call(ctx context.Context, a Arrival, attempt int) Outcome {
	request, err := c.request(ctx, a, attempt)
	if err != nil {
		return Outcome{Arrival: a, FailureCause: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.Keys[a.Account%len(c.Keys)])
	request.Header.Set("Idempotency-Key", a.ID)
	sentAt := time.Now()
	response, err := c.Client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Outcome{Arrival: a, RejectionKind: string(problem.KindDraining)}
	}
	if err != nil {
		return Outcome{Arrival: a, FailureCause: "connection"}
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return outcomeOfError(a, response)
	}
	if a.Kind == KindCompletion {
		return readStream(a, sentAt, response.Body, decodeChunk)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Outcome{Arrival: a, FailureCause: "connection"}
	}
	return Outcome{Arrival: a, FirstResponse: time.Since(sentAt)}
}

// request returns the HTTP request of an arrival. Each attempt goes to another
// gateway.
func (c *GatewayCaller) request(ctx context.Context, a Arrival, attempt int) (*http.Request, error) {
	base := c.Gateways[(hashOf(a.ID)+uint64(attempt))%uint64(len(c.Gateways))]
	switch a.Kind {
	case KindLookup:
		return http.NewRequestWithContext(ctx, http.MethodGet, base+"/services/"+c.Service+"/availability", nil)
	case KindHold:
		body := strings.NewReader(`{"berth":"` + a.ID + `"}`)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/services/"+c.Service+"/seat-holds", body)
		if err == nil {
			request.Header.Set("Content-Type", "application/json")
		}
		return request, err
	default:
		body, err := json.Marshal(completion.Request{Model: c.Model, Prompt: a.Prompt, Stream: true})
		if err != nil {
			return nil, err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(body))
		if err == nil {
			request.Header.Set("Content-Type", "application/json")
		}
		return request, err
	}
}

// outcomeOfError returns the outcome of a response with an error status: a rejection if
// the request did not run, otherwise a failure.
func outcomeOfError(a Arrival, response *http.Response) Outcome {
	var document problem.Document
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return Outcome{Arrival: a, FailureCause: response.Status}
	}
	if document.Ran == problem.RanNo {
		return Outcome{Arrival: a, RejectionKind: string(document.Kind)}
	}
	return Outcome{Arrival: a, FailureCause: string(document.Kind)}
}

func decodeChunk(data []byte) (tokenEvent, error) {
	var chunk completion.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return tokenEvent{}, err
	}
	end := len(chunk.Choices) > 0 && chunk.Choices[0].FinishReason != ""
	return tokenEvent{generation: chunk.Generation, offset: chunk.Offset, finishOnly: end}, nil
}

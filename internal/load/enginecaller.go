package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"corianderhitch/api/engine"
)

// EngineCaller sends completions directly to engines, as the reference for the overhead
// of a gateway.
type EngineCaller struct {
	Engines []string // base URLs
	Model   string
	Version string
	Client  *http.Client
}

// Call implements Caller. It skips requests that are not completions.
func (c *EngineCaller) Call(ctx context.Context, a Arrival) Outcome {
	if a.Kind != KindCompletion {
		return Outcome{Arrival: a}
	}
	body, err := json.Marshal(engine.GenerateRequest{
		ID: "direct-" + a.ID, RequestID: a.ID, Model: c.Model, Version: c.Version,
		Prompt: a.Prompt, MaxTokens: max(1, a.Tokens), Priority: 5,
	})
	if err != nil {
		return Outcome{Arrival: a, FailureCause: err.Error()}
	}
	url := c.Engines[hashOf(a.ID)%uint64(len(c.Engines))] + "/v1/generations"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Outcome{Arrival: a, FailureCause: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	sentAt := time.Now()
	response, err := c.Client.Do(request)
	if err != nil {
		return Outcome{Arrival: a, FailureCause: "connection"}
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return outcomeOfError(a, response)
	}
	return readStream(a, sentAt, response.Body, decodeToken)
}

func decodeToken(data []byte) (tokenEvent, error) {
	var token engine.Token
	if err := json.Unmarshal(data, &token); err != nil {
		return tokenEvent{}, err
	}
	return tokenEvent{generation: token.Generation, offset: token.Offset}, nil
}

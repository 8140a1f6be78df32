package modelplacement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/httpanswer"
	"corianderhitch/internal/outbound"
)

const (
	// maxAnswerBytes bounds the body of an engine's answer, maxHeadBytes its heads.
	maxAnswerBytes = 4 << 20
	maxHeadBytes   = 64 << 10
)

// ErrFenced means that the engine has seen a higher fencing token.
var ErrFenced = eris.New("placement: the engine rejected the fencing token, another host holds the lease now; release it")

// ErrNoCapacity means that the engine already has as many model versions as it may.
var ErrNoCapacity = eris.New("placement: the engine has reached its limit of model versions; unload one first")

// OrderClient sends orders to engines and reads back what they have applied.
type OrderClient interface {
	Send(ctx context.Context, address string, order engine.Order) (engine.OrderResult, error)
	State(ctx context.Context, address string) (engine.OrderState, error)
}

// HTTPOrderClient is an OrderClient over HTTP.
type HTTPOrderClient struct{ client *http.Client }

// NewHTTPOrderClient returns an HTTPOrderClient with its own connections, which dial opens.
func NewHTTPOrderClient(dial outbound.DialFunc) HTTPOrderClient {
	return HTTPOrderClient{client: &http.Client{Transport: httpanswer.Transport{Transport: &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: time.Minute}}}}
}

// CloseIdle closes the idle connections.
func (h HTTPOrderClient) CloseIdle() { h.client.CloseIdleConnections() }

// Send implements OrderClient.
func (h HTTPOrderClient) Send(ctx context.Context, address string, order engine.Order) (engine.OrderResult, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return engine.OrderResult{}, err
	}
	var result engine.OrderResult
	err = h.do(ctx, http.MethodPost, address, bytes.NewReader(body), &result)
	return result, err
}

// State implements OrderClient.
func (h HTTPOrderClient) State(ctx context.Context, address string) (engine.OrderState, error) {
	var state engine.OrderState
	err := h.do(ctx, http.MethodGet, address, http.NoBody, &state)
	return state, err
}

// do sends a request to an engine's orders API and decodes the JSON response into
// answer.
func (h HTTPOrderClient) do(ctx context.Context, method, address string, body io.Reader, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/orders", body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return problemError(response.StatusCode, raw)
	}
	return json.Unmarshal(raw, answer)
}

// problemError turns a problem document into an error. A conflict of any other kind
// than overloaded means that the fencing token is too low.
func problemError(status int, raw []byte) error {
	var d problem.Document
	_ = json.Unmarshal(raw, &d)
	switch {
	case d.Kind == problem.KindOverloaded:
		return eris.Wrap(ErrNoCapacity, d.Detail)
	case status == http.StatusConflict:
		return eris.Wrap(ErrFenced, d.Detail)
	}
	return eris.Errorf("placement: engine answers %d: %s %s; see the engine's log", status, d.Kind, d.Detail)
}

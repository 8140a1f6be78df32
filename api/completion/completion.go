// Package completion defines the messages between callers and a gateway.
//
// Paths (Authorization: Bearer <key of a client account>):
//
//	POST   /v1/completions            Request -> Response, or SSE of Chunk when stream is true
//	GET    /v1/completions/{id}       fetch a late answer, or resume a stream (Accept: text/event-stream, Last-Event-ID)
//	DELETE /v1/completions/{id}       cancel
//	ANY    /services/{service}/...    call of a plain service, routed as the environment document says
//
// {id} is the caller's Idempotency-Key. If the caller sent none, the gateway generates
// one and returns it in the Idempotency-Key header. SSE events carry an opaque resume
// token as their id; a stream ends with "data: [DONE]". A failure after the first byte
// is an SSE event named "error" with a problem document.
package completion

// Delivery is how the caller wants to receive its answer.
type Delivery string

// DeliveryNow answers on the same connection. DeliveryLate records the request durably
// (202) and stores the answer, which can be fetched until it expires.
const (
	DeliveryNow  Delivery = "now"
	DeliveryLate Delivery = "late"
)

// Request is the body of POST /v1/completions.
type Request struct {
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens,omitempty"` // zero means the model's limit
	Stream    bool     `json:"stream,omitempty"`
	Delivery  Delivery `json:"delivery,omitempty"` // empty means now
	// DeadlineMS bounds the time to the first token, in milliseconds. Zero means the
	// limit of the request's class.
	DeadlineMS int `json:"deadline_ms,omitempty"`
}

// Choice is one generated text. A Response or Chunk has exactly one.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Response is the complete answer to a Request.
type Response struct {
	ID         string   `json:"id"`     // the Idempotency-Key
	Object     string   `json:"object"` // "text_completion"
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Generation string   `json:"generation"`
	Choices    []Choice `json:"choices"`
	Usage      Usage    `json:"usage"`
}

// Chunk is the data of one SSE event. Offset is the offset of its token in the
// generation.
type Chunk struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"` // "text_completion.chunk"
	Model      string   `json:"model"`
	Generation string   `json:"generation"`
	Offset     int      `json:"offset"`
	Choices    []Choice `json:"choices"`
}

// LateState is the state of a late request.
type LateState string

// The states of a late request.
const (
	LatePending LateState = "pending"
	LateReady   LateState = "ready"
	LateFailed  LateState = "failed"
)

// LateStatus is the response (202) to a POST with delivery "late", and to a GET while the
// request is pending.
type LateStatus struct {
	ID    string    `json:"id"`
	State LateState `json:"state"`
}

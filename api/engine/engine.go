// Package engine defines the HTTP messages between a model engine and its clients.
// Package engineclient sends them, and the stand-in engine serves them.
//
// Paths:
//
//	POST   /v1/generations                 start, or attach to, a generation; SSE response
//	GET    /v1/generations/{id}?offset=n   attach to a generation at a token offset; SSE response
//	DELETE /v1/generations/{id}            cancel a generation; 204, also if it is unknown
//	GET    /v1/load                        LoadReport
//	GET    /v1/cache-events?after=seq      CacheEvents
//	POST   /v1/orders                      Order -> OrderResult; 409 problem if the fencing token is rejected
//	GET    /v1/orders                      OrderState
//
// The SSE response has "token" events (Token), then exactly one "done" (Done) or
// "error" (problem.Document). The token offsets of a generation start at 0 and have no
// gaps. A request that the engine rejects before running it gets a problem document
// with ran=no.
package engine

import "time"

// GenerateRequest starts a generation. Sending the same ID again to the same
// engine attaches to the running generation at Offset instead of running it twice.
type GenerateRequest struct {
	ID        string `json:"id"`         // generation id, chosen by the gateway
	RequestID string `json:"request_id"` // caller's request id, for crash attribution
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"` // upper bound of output tokens
	Priority  int    `json:"priority"`   // 0 (lowest) to 9 (highest)
	// Offset is the first token that the response shall contain.
	Offset int `json:"offset"`
	// Prefix holds the tokens [0,len) that another engine has already produced for
	// this generation. The engine continues after them.
	Prefix []string `json:"prefix,omitempty"`
}

// Token is one output token of a generation.
type Token struct {
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
	Text       string `json:"text"`
}

// FinishReason is the reason why a generation ended without an error.
type FinishReason string

// The finish reasons.
const (
	FinishStop     FinishReason = "stop"
	FinishLength   FinishReason = "length"
	FinishCanceled FinishReason = "canceled"
)

// Done is the event that ends a generation. Tokens is the total number of output
// tokens.
type Done struct {
	Generation string       `json:"generation"`
	Tokens     int          `json:"tokens"`
	Reason     FinishReason `json:"reason"`
}

// LoadReport is the load of an engine at ReportedAt, which may be in the past.
type LoadReport struct {
	Target      string    `json:"target"`
	ReportedAt  time.Time `json:"reported_at"`
	Running     int       `json:"running"`      // sequences in the batch
	Waiting     int       `json:"waiting"`      // sequences queued or preempted
	UsedBlocks  int       `json:"used_blocks"`  // KV memory blocks used by sequences
	TotalBlocks int       `json:"total_blocks"` // all KV memory blocks of the engine
	BlockTokens int       `json:"block_tokens"` // tokens per block
	StepMS      float64   `json:"step_ms"`      // duration of the last decode step
	Preemptions int64     `json:"preemptions"`  // number since the engine's start
	Leaving     bool      `json:"leaving"`      // rejects new generations
	// Limited states that the engine takes only RequestLimit generations a second from all hosts
	// together, as long as it says so.
	Limited      bool     `json:"limited,omitempty"`
	RequestLimit float64  `json:"request_limit,omitempty"`
	Loaded       []Loaded `json:"loaded"`
	Role         Role     `json:"role"`
}

// Loaded names one model version, with its adapters, that an engine can serve.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Role determines whether an engine serves generations.
type Role string

// The roles of an engine. A standby engine rejects generations until an order gives it
// the general role.
const (
	RoleGeneral Role = "general"
	RoleStandby Role = "standby"
)

// CacheEventKind names what happened to a cached prefix block.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports a change of one cached prefix block. Hash is the chained hash of
// the prompt up to and including the block (see internal/prefix).
type CacheEvent struct {
	Seq  int64          `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	Hash uint64         `json:"hash"`
}

// CacheEvents is the response to a poll of cache events. A gap between the poll's
// "after" and the first Seq means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"` // value for the next poll's "after"
}

// OrderKind names what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order instructs an engine to change what it serves. Fence is the sender's fencing token:
// engines in "strict" mode reject an order whose token is below the highest they have
// seen, engines in "lax" mode ignore it.
type Order struct {
	ID       string    `json:"id"` // idempotency key of the order
	Fence    int64     `json:"fence"`
	Revision int64     `json:"revision"` // document revision that requires the order
	Kind     OrderKind `json:"kind"`
	Model    string    `json:"model,omitempty"`
	Version  string    `json:"version,omitempty"`
	Adapter  string    `json:"adapter,omitempty"`
	Role     Role      `json:"role,omitempty"`
}

// OrderResult is the response to an order.
type OrderResult struct {
	ID      string `json:"id"`
	Applied bool   `json:"applied"`
}

// OrderState is what an engine has applied, so that a sender can check the effect of
// its orders.
type OrderState struct {
	HighestFence int64    `json:"highest_fence"`
	Loaded       []Loaded `json:"loaded"`
	Role         Role     `json:"role"`
	Applied      []Order  `json:"applied"` // the last orders, oldest first
}

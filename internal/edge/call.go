// Package edge defines what the parts of the edge process share: a caller's
// request, its dispatch to a target and the ports that a platform implements.
package edge

import (
	"context"
	"net/http"
	"time"
)

// PrefixPart is a part of a prompt that requests may have in common.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Generation is what a caller says of a text generation.
type GenerationRequest struct {
	PromptTokens    int
	MaxOutputTokens int
	LengthHint      int // output tokens that the caller expects, often far off; 0 if absent
	Prefix          []PrefixPart
}

// Call is one attempt of a caller. It has an id of its own and reaches one host.
type Call struct {
	ID            string
	Method        string
	URI           string // path and query as the caller sent them
	Path          string // of URI, for the choice of the route
	Host          string
	Header        http.Header // what is passed on as it came
	Body          []byte
	Credential    string             // API key, never passed on
	CallerTimeout time.Duration      // how long the caller waits from the arrival on; 0 if it does not say
	Generation    *GenerationRequest // nil for plain calls
}

// Copy names the memory of a run that a request continues from.
type ReplicaRef struct {
	Address string // ip:port of the target that the copy is known by
	Handle  string
}

// Dispatch is what the system says to a target about a call.
type Dispatch struct {
	TargetID     string      // the incarnation that alone may run it
	Account      string      // name of the client account; empty on public routes
	Urgency      int         // 0 to 9, 0 is the most urgent
	ContinueFrom *ReplicaRef // nil for a new run
	LastEventID  string      // id of the last event that the caller has, with ContinueFrom
}

// MoveResult is the outcome of copying a run's memory.
type MoveResult int

// The outcomes of a move.
const (
	MoveCopied  MoveResult = iota
	MoveNoRun              // the target runs no such request
	MoveBusy               // another move of the run is going on
	MoveNoRoom             // the destination is full or cannot be reached
	MoveUnknown            // no answer
)

// String returns the outcome for log lines.
func (m MoveResult) String() string {
	return [...]string{"copied", "no_run", "busy", "no_room", "unknown"}[m]
}

// Moved is the answer to a move.
type MoveReply struct {
	Result MoveResult
	Handle string // names the copy; also set with MoveNoRoom if the run has stopped
	Events int    // events that the run had made by then
	Err    error  // why the result is unknown
}

// Why returns the reason of an unknown result for log lines, "" for any other.
func (m *MoveReply) ErrorText() string {
	if m.Err == nil {
		return ""
	}
	return m.Err.Error()
}

// EngineReport is what an engine says of itself. It is some hundred
// milliseconds old when it arrives.
type EngineReport struct {
	Leaving      bool
	LeavesIn     time.Duration // 0 if unknown
	Running      int
	Queued       int
	MemoryUsed   int // tokens that cannot be evicted
	MemoryTokens int
}

// Engines are the control calls of model engines.
type EngineClient interface {
	// Move copies the memory of the run of a request from the engine at an
	// address to the one at another. A final move stops the run.
	Move(ctx context.Context, address, requestID, destination string, final bool) MoveReply
	// Release frees a copy that is not used. Called at the source, it frees
	// both ends.
	Release(ctx context.Context, address, handle string) error
	// Report returns the engine's state.
	Report(ctx context.Context, address string) (EngineReport, error)
}

// Wire translates between calls and the headers of a platform.
type Wire interface {
	// Decode reads the caller's request without its body.
	Decode(r *http.Request) Call
	// Encode returns the headers for a target.
	Encode(c *Call, d Dispatch, timeLeft time.Duration) http.Header
	// RequestID returns the request that an answer belongs to, "" if it does
	// not say.
	RequestID(h http.Header) string
	// NotRun tells whether the target states that it did not run the request.
	NotExecuted(status int, h http.Header) bool
	// Signed tells whether the answer bears the target's signature.
	Signed(h http.Header) bool
	// RetryAfter tells the caller when to come back.
	SetRetryAfter(h http.Header, d time.Duration)
}

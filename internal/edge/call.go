// Package edge defines the types that the packages of the edge process share: a
// caller's request, its dispatch to a target, the rejection of a request, and the
// interfaces that a platform implements.
package edge

import (
	"context"
	"net/http"
	"strings"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targets"
)

// PrefixPart is a leading part of a prompt that other requests may share, so that
// an engine may have it cached.
type PrefixPart struct {
	ID     string
	Tokens int
}

// GenerationRequest holds what the caller's headers state about a text generation.
type GenerationRequest struct {
	PromptTokens    int
	MaxOutputTokens int
	LengthHint      int // output tokens that the caller expects, often inaccurate; 0 if absent
	Prefix          []PrefixPart
}

// maxNamedParts and maxNamedPartBytes bound what a log line names of a prompt.
const (
	maxNamedParts     = 6
	maxNamedPartBytes = 40
)

// SharedParts returns the parts of the prompt that other requests may have too: each but
// the last. It is safe on nil.
func (g *GenerationRequest) SharedParts() []PrefixPart {
	if g == nil || len(g.Prefix) < 2 {
		return nil
	}
	return g.Prefix[:len(g.Prefix)-1]
}

// SharedPartNames returns the IDs of the shared parts for a log line, at most the deepest
// maxNamedParts of them, cut to maxNamedPartBytes each.
func (g *GenerationRequest) SharedPartNames() string {
	shared := g.SharedParts()
	shared = shared[max(0, len(shared)-maxNamedParts):]
	names := make([]string, len(shared))
	for i, part := range shared {
		names[i] = part.ID[:min(len(part.ID), maxNamedPartBytes)]
	}
	return strings.Join(names, ",")
}

// Call is one request as a caller sent it to this host. A caller that retries sends
// a new call with a new ID.
type Call struct {
	ID            string
	Method        string
	URI           string // path and query, byte for byte as the caller sent them
	Path          string // path of URI, for matching the route
	Host          string
	Header        http.Header // headers that are passed on unchanged
	Body          []byte
	Credential    string             // API key, never passed on to a target
	CallerTimeout time.Duration      // how long the caller waits from arrival; 0 if not stated
	Generation    *GenerationRequest // nil for plain calls
	// LastEventID is the id of the last event that the caller has of the stream, 0 if it
	// has none, InvalidEventID if what it sent can't be an id. Only resumable routes use it.
	LastEventID int64
}

const (
	// InvalidEventID is the LastEventID of a call whose header is malformed.
	InvalidEventID = -1
	// MaxEventID is the largest id of an event. It is far above the length of any
	// generation and leaves room for arithmetic.
	MaxEventID = 1<<31 - 1
)

// ReplicaRef names a copy of a run's memory from which a request continues.
type ReplicaRef struct {
	Address string // ip:port of the target that issued the handle
	Handle  string
}

// Dispatch holds what the system adds to a call when it sends it to a target.
type Dispatch struct {
	TargetID     string      // only this incarnation of the target may run the call
	Account      string      // name of the client account; empty on public routes
	Urgency      int         // 0 to 9, 0 is the most urgent
	ContinueFrom *ReplicaRef // nil for a new run
	LastEventID  int64       // id of the last event that the caller has received; 0 if none
	// PermitUntil is until when the call may be sent to a cold target by a permit of the hub; 0 without one.
	PermitUntil bootclock.Instant
}

// MoveResult is the outcome of copying a run's memory to another engine.
type MoveResult int

// Outcomes of Move.
const (
	MoveCopied   MoveResult = iota
	MoveNoRun               // the source runs no such request
	MoveBusy                // another copy of this run is in progress
	MoveNoRoom              // the destination is full, cannot be reached, leaves or wants a pause
	MoveUnknown             // the source did not answer
	MoveRejected            // the source answered, but neither copied nor stopped the run
)

// String returns the name of the outcome in logs and metrics.
func (m MoveResult) String() string {
	return [...]string{"copied", "no_run", "busy", "no_room", "unknown", "rejected"}[m]
}

// MoveReply is the source engine's answer to Move.
type MoveReply struct {
	Result MoveResult
	// Handle names the copy. With MoveNoRoom it is set only if a final move has stopped
	// the run; it then names the memory that the source keeps.
	Handle string
	Events int   // events that the run had produced when its memory was copied
	Err    error // why the result is MoveUnknown or MoveRejected, or why the call was not sent
}

// Answered reports whether the source has answered the call.
func (m *MoveReply) Answered() bool {
	return m.Result == MoveRejected || m.Result != MoveUnknown && m.Err == nil
}

// ErrorText returns the text of Err for log lines, "" if there is none.
func (m *MoveReply) ErrorText() string {
	if m.Err == nil {
		return ""
	}
	return m.Err.Error()
}

// EngineReport is the state that an engine reports about itself. It is a few hundred
// milliseconds old when it arrives.
type EngineReport struct {
	Leaving      bool
	LeavesIn     time.Duration // time until it stops serving; 0 if unknown
	Running      int
	Queued       int
	MemoryUsed   int // KV memory that cannot be evicted, in tokens
	MemoryTokens int // total KV memory, in tokens
}

// EngineClient makes the control calls that model engines serve.
type EngineClient interface {
	// Move copies the KV memory of a request's run from the source engine to another.
	// A final move stops the run at the source.
	Move(ctx context.Context, source *targets.Target, requestID string, dest *targets.Target, final bool) MoveReply
	// Refresh copies what a run has added since the copy that handle names. An answer that names another one belongs to
	// another call, and the result is MoveUnknown.
	Refresh(ctx context.Context, source *targets.Target, requestID string, dest *targets.Target, handle string) MoveReply
	// Release frees a copy that will not be used. Called at the source, it frees
	// the memory at both engines.
	Release(ctx context.Context, source *targets.Target, handle string) error
	// Report returns the engine's current state.
	Report(ctx context.Context, t *targets.Target) (EngineReport, error)
}

// TargetNotice is what a target states about itself in the head of a response, in addition to
// the response.
type TargetNotice struct {
	Leaving bool
	// Pause is how long the target wants nothing from this host; 0 if it doesn't say so.
	Pause time.Duration
	// Limited reports whether the target names a limit; Limit is how many requests a second it
	// takes from all hosts together.
	Limited bool
	Limit   float64
	// Brittle is how many requests a second the target may reject for want of room before it
	// fails; 0 if it doesn't say so.
	Brittle int
	// ColdStated reports whether the target states how long it is still cold; Cold is that time, 0 if
	// it is warm.
	ColdStated bool
	Cold       time.Duration
	// Malformed is a header that could not be read, for logs; "" if there is none.
	Malformed string
}

// Wire translates between calls and the HTTP headers of a platform.
type Wire interface {
	// Decode reads a caller's request, except for its body.
	Decode(r *http.Request) Call
	// Encode returns the headers of the request to a target.
	Encode(c *Call, d Dispatch, timeLeft time.Duration) http.Header
	// RequestID returns the id of the request that a response belongs to, "" if
	// the response does not state it.
	RequestID(h http.Header) string
	// NotExecuted reports whether the target states that it did not run the request.
	NotExecuted(status int, h http.Header) bool
	// Signed reports whether the response carries the target's signature.
	Signed(h http.Header) bool
	// TargetNotice returns what a target states about itself in the head of a response.
	TargetNotice(status int, h http.Header) TargetNotice
	// SetRetryAfter sets the header that tells the caller when it may retry.
	SetRetryAfter(h http.Header, d time.Duration)
}

package runner

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/platform"
)

// Job is one request for a generation, pinned to a version and an adapter.
type Job struct {
	Admit    control.AdmitArgs // template of the admissions; the runner sets the ticket
	Prompt   string
	BodyHash uint64
	// ContinueFromPrefix states that another engine may continue the generation from
	// the tokens so far.
	ContinueFromPrefix bool
	// NonStreaming states that the caller gets the whole answer at the end.
	NonStreaming bool
	// StallTimeout is the time without a token after which the runner attaches again.
	StallTimeout time.Duration
	// Resume, if set, makes the runner attach to a generation that already runs.
	Resume *Resume
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time
}

// Resume identifies a running generation and where the caller left off.
type Resume struct {
	Target          platform.Target
	Generation      string
	DeliveredTokens int // number of tokens that the caller has
	// StartIfUnknown allows starting the generation if the engine does not know it,
	// since the caller has nothing of it.
	StartIfUnknown bool
	// PromptUnknown states that this gateway does not know the prompt, so that no
	// other engine can take over.
	PromptUnknown bool
}

// Sink receives the tokens of one job in order. An error means that the caller has
// left.
type Sink interface {
	// SetSource sets the engine and the generation that the following tokens come
	// from.
	SetSource(target platform.Target, generation string)
	// Token adds the token at an offset; it may buffer it.
	Token(offset int, text string) error
	// Flush sends the buffered tokens.
	Flush() error
}

// Result is the outcome of a job. Err is nil if the generation is complete.
type Result struct {
	Generation   string
	Target       platform.Target
	Tokens       []string
	FinishReason engine.FinishReason
	Err          *problem.Error
	// CallerLeft is set when the sink failed before the end.
	CallerLeft bool
}

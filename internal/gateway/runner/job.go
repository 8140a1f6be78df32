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
	Admit    control.AdmitArgs // template; the runner sets the ticket
	Prompt   string
	BodyHash uint64
	// MayContinue states that another engine may continue from a prefix.
	ContinueFromPrefix bool
	// WholeAnswer states that the caller gets nothing before the end.
	NonStreaming bool
	// StallBound is the time without a token after which the runner attaches again.
	StallTimeout time.Duration
	// Resume attaches to a generation that runs already, if set.
	Resume *Resume
	// Started is when the request arrived.
	ReceivedAt time.Time
}

// Resume names a running generation.
type Resume struct {
	Target          platform.Target
	Generation      string
	DeliveredTokens int // tokens that the caller holds
	// MayStart allows to start the generation if the engine does not know it,
	// since the caller holds nothing of it.
	StartIfUnknown bool
	// Fixed states that the prompt is not known, so that no other engine can
	// take over.
	PromptUnknown bool
}

// Sink takes the tokens of one generation in order. An error means that the
// caller is gone.
type Sink interface {
	// Placed names the engine and generation of the tokens that follow.
	SetSource(target platform.Target, generation string)
	// Token takes the token at an offset.
	Token(offset int, text string) error
	// Flush sends what Token has collected.
	Flush() error
}

// Result tells how a job ended. Err is nil if the generation is complete.
type Result struct {
	Generation   string
	Target       platform.Target
	Tokens       []string
	FinishReason engine.FinishReason
	Err          *problem.Error
	// CallerGone is set when the sink failed before the end.
	CallerGone bool
}

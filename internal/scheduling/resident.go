package scheduling

import (
	"time"

	"corianderhitch/internal/scheduling/length"
	"corianderhitch/internal/scheduling/memory"
)

// resident is a granted request that has not finished.
type resident struct {
	request        Request
	target         *targetState
	curve          *length.Curve
	expectedTokens float64   // output tokens still to come, as expected at the grant
	startsAt       time.Time // when its first token is due
	startedAt      float64   // progress of its target at startsAt
	started        bool
}

// produced estimates the output tokens produced so far, from the time since the
// first token was due and the target's token rate.
func (r *resident) produced() float64 {
	if !r.started {
		return float64(r.request.Produced)
	}
	tokens := float64(r.request.Produced) + max(0, r.target.progress-r.startedAt)
	return min(tokens, float64(r.request.MaxTokens))
}

func (r *resident) sequence() memory.Sequence {
	return memory.Sequence{
		Curve:     r.curve,
		Prompt:    float64(r.request.PromptTokens),
		Produced:  r.produced(),
		MaxTokens: float64(r.request.MaxTokens),
	}
}

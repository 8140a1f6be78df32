package streaming

import (
	"sync"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/scheduling/length"
)

// Lengths learns how long the outputs of routes are. It is safe for concurrent
// use.
type OutputLengths struct {
	mu        sync.Mutex
	estimator *length.Estimator // guarded by mu
}

// NewLengths returns a Lengths without samples.
func NewOutputLengths() *OutputLengths { return &OutputLengths{estimator: length.NewEstimator(0)} }

// firstOutput is the expected output of a route without samples, in tokens.
const defaultOutputTokens = 512

// Expected returns the output tokens that a generation is expected to make in
// all, given those that it has made.
func (l *OutputLengths) Expected(a *edge.AuthorizedCall, produced int) int {
	limit := outputLimit(a)
	l.mu.Lock()
	defer l.mu.Unlock()
	curve := l.estimator.Curve(lengthKey(a))
	return produced + min(int(curve.MeanRemaining(produced, limit)), max(0, limit-produced))
}

// Observe learns from the output of a run.
func (l *OutputLengths) Observe(a *edge.AuthorizedCall, tokens int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator.Observe(lengthKey(a), tokens, complete)
}

func outputLimit(a *edge.AuthorizedCall) int {
	if g := a.Call.Generation; g != nil && g.MaxOutputTokens > 0 {
		return g.MaxOutputTokens
	}
	return defaultOutputTokens
}

func lengthKey(a *edge.AuthorizedCall) length.Key {
	return length.Key{Model: a.Service.Name, Account: a.Account, Class: a.Route.Name}
}

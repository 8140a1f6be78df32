package streaming

import (
	"sync"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/scheduling/length"
)

// OutputLengths estimates the output lengths of generations by service, client
// account and route. It is safe for concurrent use.
type OutputLengths struct {
	mu        sync.Mutex
	estimator *length.Estimator // guarded by mu
}

// NewOutputLengths returns an estimator without samples.
func NewOutputLengths() *OutputLengths { return &OutputLengths{estimator: length.NewEstimator(0)} }

// defaultOutputTokens is assumed as the limit of calls that do not state one.
const defaultOutputTokens = 512

// Expected returns the expected total output tokens of a generation that has
// produced some already.
func (l *OutputLengths) Expected(a *edge.AuthorizedCall, produced int) int {
	limit := outputLimit(a)
	l.mu.Lock()
	defer l.mu.Unlock()
	curve := l.estimator.Curve(lengthKey(a))
	return produced + min(int(curve.MeanRemaining(produced, limit)), max(0, limit-produced))
}

// Observe records the output of a run; complete is false if it ended early.
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

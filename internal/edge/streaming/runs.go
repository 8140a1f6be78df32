package streaming

import "sync"

// Runs holds this host's runs in flight by target. It is safe for concurrent use.
type Runs struct {
	onEnter func(*Run, string)

	mu       sync.Mutex
	byTarget map[string]map[*Run]struct{} // guarded by mu; by the target's incarnation
}

// NewRuns returns an empty table. onEnter is called, without locks held, when a target
// has started or resumed a run.
func NewRuns(onEnter func(r *Run, target string)) *Runs {
	return &Runs{onEnter: onEnter, byTarget: make(map[string]map[*Run]struct{})}
}

// AtTarget returns the runs that an incarnation of a target executes.
func (t *Runs) AtTarget(target string) []*Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Run, 0, len(t.byTarget[target]))
	for r := range t.byTarget[target] {
		out = append(out, r)
	}
	return out
}

// All returns all runs of this host.
func (t *Runs) All() []*Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*Run
	for _, runs := range t.byTarget {
		for r := range runs {
			out = append(out, r)
		}
	}
	return out
}

// Len returns the number of runs in flight.
func (t *Runs) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, runs := range t.byTarget {
		n += len(runs)
	}
	return n
}

func (t *Runs) add(r *Run, target string) {
	t.mu.Lock()
	if t.byTarget[target] == nil {
		t.byTarget[target] = make(map[*Run]struct{})
	}
	t.byTarget[target][r] = struct{}{}
	t.mu.Unlock()
	t.onEnter(r, target)
}

func (t *Runs) remove(r *Run, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byTarget[target], r)
	if len(t.byTarget[target]) == 0 {
		delete(t.byTarget, target)
	}
}

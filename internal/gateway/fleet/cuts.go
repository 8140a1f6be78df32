package fleet

import "time"

// cutFor is how long an agent that gave no answer is asked last or not at all.
const cutFor = 5 * time.Second

// duty is what an agent is asked for. An agent that is slow in one duty, or was
// not up when this gateway started, must not lose the others: gateways that pass
// over a pool's owner ask different hosts, and the pool then has several owners.
type duty string

// The duties that are cut off apart.
const (
	forAdmission duty = "admission"
	forDirectory duty = "directory"
	forSnapshot  duty = "snapshot" // also for news
)

// cutKey names an agent in a duty.
type cutKey struct {
	duty  duty
	agent string
}

// cut notes that an agent gave no answer.
func (f *Fleet) cut(d duty, agent string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[cutKey{d, agent}] = time.Now().Add(cutFor)
}

// isCut tells whether an agent gave no answer lately.
func (f *Fleet) isCut(d duty, agent string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.cuts[cutKey{d, agent}])
}

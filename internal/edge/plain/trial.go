package plain

import (
	"sync"
	"time"
)

// waiters counts the calls that wait for a trial, by service. It is safe for concurrent use.
type waiters struct {
	mu     sync.Mutex
	counts map[string]int // guarded by mu
}

// enter counts one more waiting call unless limit calls wait.
func (w *waiters) enter(service string, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[service] >= limit {
		return false
	}
	if w.counts == nil {
		w.counts = make(map[string]int)
	}
	w.counts[service]++
	return true
}

func (w *waiters) leave(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[service]--
}

// awaitTrial waits while no target of the service accepts calls, but the answer of one that is
// on trial after its pause may come at any moment. No more calls wait than the target processes
// at once, since a target that has just paused is easily overrun.
func (r *run) awaitTrial() {
	s, service := r.server, r.call.Service.Name
	trials := r.view().Trials(service)
	if trials.Left == 0 || !s.awaitingTrial.enter(service, trials.Slots) {
		return
	}
	defer s.awaitingTrial.leave(service)
	for trials.Left > 0 && r.ctx.Err() == nil {
		timer := time.NewTimer(trials.Left)
		select {
		case <-trials.Ended:
		case <-timer.C:
		case <-r.ctx.Done():
		}
		timer.Stop()
		trials = r.view().Trials(service)
	}
}

package streaming

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

// Run is one generation in flight. Its stream is read by the goroutine of the
// caller's request; a migration works beside it.
type Run struct {
	server      *Server
	call        *edge.AuthorizedCall
	w           http.ResponseWriter
	flush       func() error
	lastEventID int64 // of the last event that the caller has; reader only
	headSent    bool  // the head has been sent to the caller; reader only
	done        chan struct{}
	// passedAt is when the last events were passed on; reader only.
	forwardedAt bootclock.Instant
	// heardAt is when events came last, a bootclock.Instant; 0 before the first.
	lastEventAt atomic.Int64
	// longestPause is the longest time between two events; reader only.
	longestPause time.Duration

	// Copying is held by who copies the run's memory: an engine makes one copy of a
	// run at a time.
	CopyLock sync.Mutex

	mu          sync.Mutex
	target      *targets.Target // guarded by mu; where it runs
	segment     *segment        // guarded by mu
	events      int             // guarded by mu; that the caller has
	countedLoad inflight.Load   // guarded by mu; in the load book for target
	replica     *Replica        // guarded by mu; of the memory, made at the present target
}

// ID returns the request id, which names the run at the target.
func (r *Run) ID() string { return r.call.Call.ID }

// Log returns the logger of the request.
func (r *Run) Log() *slog.Logger { return r.call.Log }

// Ended is closed when the stream has ended for the caller.
func (r *Run) Done() <-chan struct{} { return r.done }

// Target returns where the run is.
func (r *Run) Target() *targets.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// Held returns the tokens that the run holds in memory, about.
func (r *Run) HeldTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens() + r.events*r.call.Service.Engine.TokensPerEvent
}

// Expected returns the tokens that the run is expected to hold at its end.
func (r *Run) ExpectedTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countedLoad.Tokens
}

// Remaining returns the output tokens that are expected to come.
func (r *Run) RemainingTokens() int { return max(0, r.ExpectedTokens()-r.HeldTokens()) }

func (r *Run) promptTokens() int {
	if g := r.call.Call.Generation; g != nil {
		return g.PromptTokens
	}
	return 0
}

// enter records the target that the run is at now. Its load was counted before.
func (r *Run) enterTarget(s *segment, load inflight.Load) {
	r.mu.Lock()
	r.target, r.segment, r.countedLoad = s.target, s, load
	r.mu.Unlock()
	if r.lastEventAt.Load() != 0 {
		r.lastEventAt.Store(int64(bootclock.Now())) // the silence of the engine before is not this one's
	}
	r.server.Runs.add(r, s.target.Key())
}

// leave takes the run off its target. A copy of its memory stays known.
func (r *Run) leaveTarget() {
	r.mu.Lock()
	t, load := r.target, r.countedLoad
	r.target, r.segment, r.countedLoad = nil, nil, inflight.Load{}
	r.mu.Unlock()
	if t != nil {
		r.server.Runs.remove(r, t.Key())
		r.server.Inflight.Remove(t.Key(), load)
	}
}

// progress counts events that the caller has got and corrects the run's load.
func (r *Run) recordProgress(events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.events / reestimateEvents
	first := r.events == 0
	r.events += events
	if r.target == nil || (!first && r.events/reestimateEvents == before) {
		return
	}
	now := r.server.runLoad(r.call, r.events)
	r.server.Inflight.Add(r.target.Key(), now.Minus(r.countedLoad))
	r.countedLoad = now
}

// Service returns the service that the run is of.
func (r *Run) Service() *policy.Service { return r.call.Service }

// cutSegment ends the stream from the present target.
func (r *Run) cancelSegment(c *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica == c && r.segment != nil {
		r.segment.cancel()
	}
}

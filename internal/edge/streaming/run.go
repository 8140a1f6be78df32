package streaming

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/targets"
)

// Run is one generation in flight. The goroutine of the caller's request reads its
// stream; a migration may copy its memory at the same time.
type Run struct {
	server      *Server
	call        *edge.AuthorizedCall
	w           http.ResponseWriter
	flush       func() error
	lastEventID atomic.Int64 // id of the last event that was sent to the caller
	headSent    bool         // status and headers were sent to the caller; only for the reading goroutine
	done        chan struct{}
	// forwardedAt is when the last events were sent; only for the reading goroutine.
	forwardedAt bootclock.Instant
	meter       speedMeter // only for the reading goroutine
	// lastEventAt is a bootclock.Instant, see SinceLastEvent; 0 before the first event and
	// while events are sent to the caller.
	lastEventAt atomic.Int64
	// longestPause is the longest time between two events; only for the reading
	// goroutine.
	longestPause time.Duration
	startedAfter time.Duration // from when the request had been read to the first event; only for the reading goroutine
	eventsBefore int           // events that the caller had before it resumed the stream
	head         http.Header   // of the caller's response; only for the reading goroutine
	attempts     attempts

	// CopyLock is held while the run's memory is copied: an engine makes one copy of
	// a run at a time.
	CopyLock sync.Mutex

	// ctx is that of the caller's request. Set before the run enters its first target.
	ctx context.Context

	mu           sync.Mutex
	target       *targets.Target // guarded by mu; where the run executes, nil between targets
	segment      *segment        // guarded by mu
	events       int             // guarded by mu; number of events of the stream that the caller has
	countedLoad  inflight.Load   // guarded by mu; load counted for target
	interruption interruption    // guarded by mu
	replica      *Replica        // guarded by mu; copied from the current target
	// stopUnconfirmed means that a final copy may have stopped the run at the current target, or may do so yet;
	// guarded by mu.
	stopUnconfirmed bool
	copying         chan struct{} // guarded by mu; closed at the end of the copy in progress, nil if there is none
	takeover        *takeover     // guarded by mu; from its begin until the reading goroutine has used it or it has failed
	// stops are the stops of the run in progress, by the engine's incarnation; guarded by mu.
	stops map[string]*engineStop
	// unstopped holds the engines that may execute the run though it does not continue there, by
	// incarnation; guarded by mu.
	unstopped map[string]*targets.Target
	// leftMemory is what engines have named too late for the run to continue from it; guarded by mu.
	leftMemory []leftMemory
	// nextTakeover is the earliest time of the next takeover; guarded by mu.
	nextTakeover bootclock.Instant
}

// newRun returns the run of a call. A stream that the caller resumes begins after the
// event that the caller has.
func newRun(s *Server, a *edge.AuthorizedCall, w http.ResponseWriter, flush func() error) *Run {
	r := &Run{server: s, call: a, w: w, flush: flush, done: make(chan struct{})}
	r.lastEventID.Store(a.ResumesAfter())
	r.events = min(int(a.ResumesAfter()), outputLimit(a)/a.Service.Engine.TokensPerEvent)
	r.eventsBefore = r.events
	r.attempts.tried = make(map[string]bool)
	return r
}

// ID returns the request id, which also identifies the run at its target.
func (r *Run) ID() string { return r.call.Call.ID }

// Log returns the logger of the request.
func (r *Run) Log() *slog.Logger { return r.call.Log }

// Done returns a channel that is closed when the stream to the caller has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Target returns the target that executes the run, nil between targets.
func (r *Run) Target() *targets.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// HeldTokens returns approximately how many tokens of KV memory the run holds.
func (r *Run) HeldTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptTokens() + r.events*r.call.Service.Engine.TokensPerEvent
}

// ExpectedTokens returns how many tokens the run is expected to hold at its end.
func (r *Run) ExpectedTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countedLoad.Tokens
}

// RemainingTokens returns how many output tokens are expected to follow.
func (r *Run) RemainingTokens() int { return max(0, r.ExpectedTokens()-r.HeldTokens()) }

// OutlastsProcess reports whether the run is expected to be aborted because its process ends.
func (r *Run) OutlastsProcess() bool {
	return r.server.Drain.Outlasts(r.call, r.RemainingTokens())
}

// ProcessDrains reports whether this process has been asked to stop.
func (r *Run) ProcessDrains() bool { return r.server.Drain.Begun().Err() != nil }

// Helper returns the address of the host by way of which the run's stream comes; "" if it comes from
// the engine itself.
func (r *Run) Helper() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.segment == nil {
		return ""
	}
	return r.segment.response.Helper
}

// promptTokens returns the length of the prompt, 0 if unknown.
func (r *Run) promptTokens() int {
	if g := r.call.Call.Generation; g != nil {
		return g.PromptTokens
	}
	return 0
}

// enterTarget records the target that now executes the run.
func (r *Run) enterTarget(s *segment) {
	r.mu.Lock()
	r.target, r.segment, r.countedLoad, r.interruption, r.stopUnconfirmed = s.target, s, s.load, interruption{}, false
	r.mu.Unlock()
	if r.lastEventAt.Load() != 0 {
		r.lastEventAt.Store(int64(bootclock.Now())) // the previous engine's silence does not count against this one
	}
	r.server.Runs.add(r, s.target.Key())
	r.stopAtOthers(s.target)
}

// abandon closes a segment whose target the run has not entered.
func (r *Run) abandon(s *segment) {
	if s.response.Status == http.StatusOK {
		r.noteUnstopped(s.target)
	}
	s.close()
	r.server.Inflight.Remove(s.target.Key(), s.load)
}

// leaveTarget removes the run and its load from its target but keeps its replica.
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

// Resumable reports whether the run may be started again at another engine, after the
// last event that the caller has.
func (r *Run) Resumable() bool { return r.call.Route.Resumable }

// MayRestart reports whether the run is resumable and has an attempt left.
func (r *Run) MayRestart() bool {
	return r.Resumable() && int(r.attempts.sends.Load())+1 < r.call.Route.MaxAttempts
}

// deliveredEvents returns how many events of the stream the caller has.
func (r *Run) deliveredEvents() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

// recordProgress counts events that were sent to the caller and updates the run's load
// regularly, and when the first event shows that the prompt has been read.
func (r *Run) recordProgress(events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeover.cancelUncommitted()
	r.confirmAtSource()
	before := r.events / reestimateEvents
	first := r.countedLoad.Unread > 0
	r.events += events
	if r.target == nil || (!first && r.events/reestimateEvents == before) {
		return
	}
	now := r.server.runLoad(r.call, r.events)
	r.server.Inflight.Add(r.target.Key(), now.Minus(r.countedLoad))
	r.countedLoad = now
}

// Service returns the service that the run belongs to.
func (r *Run) Service() *policy.Service { return r.call.Service }

// Regions returns the regions in which the run may execute.
func (r *Run) Regions() region.Set { return r.call.Regions }

// cancelSegment cancels the stream from the current target if replica is still the
// run's replica.
func (r *Run) cancelSegment(replica *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica == replica && r.segment != nil {
		r.segment.cancel()
	}
}

// Package streaming serves generations whose response is a stream of server-sent
// events. A run executes once; while it executes, its memory may move to another
// engine, where the stream continues with the next event.
package streaming

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/memquota"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
	"corianderhitch/internal/wait"
)

const (
	// reestimateEvents is after how many events the expected length is estimated again.
	reestimateEvents = 16
	// maxPlacements bounds the engines that are tried while no byte of the request has
	// been sent.
	maxPlacements = 4
	// suspectDelayFactor times the route's latency objective is how long an engine may
	// take to respond before it is suspected to hang; runs are placed only where they
	// are expected to start within one objective. minSuspectDelay is the minimum delay.
	suspectDelayFactor = 1.3
	minSuspectDelay    = time.Second
	// silenceCheckInterval is how often a run at a suspected engine checks whether the
	// engine counts as failing meanwhile.
	silenceCheckInterval = 100 * time.Millisecond
	// writeSlack is how long after the deadline writes to the caller may still succeed.
	writeSlack = time.Second
)

// Observer records durations of streams as metrics.
type Observer interface {
	// ObservePlacementWait records how long a run waited for an engine; found
	// reports whether one had capacity.
	ObservePlacementWait(took time.Duration, found bool)
	// ObserveFirstEvent records the time from arrival to the first event.
	ObserveFirstEvent(took time.Duration)
	// ObserveLongestPause records the longest time between two events of a stream.
	ObserveLongestPause(longest time.Duration)
	// ObserveContinuation counts a send of a run that continues from a copy of its memory.
	ObserveContinuation(service, result string)
}

// Server serves streaming routes.
type Server struct {
	Sender      *edge.Sender
	Engines     edge.EngineClient
	Targets     *targets.Registry
	Inflight    *inflight.Table
	Health      *ejection.Tracker
	Lengths     *OutputLengths
	Queue       *admission.Queue
	Runs        *Runs
	Speeds      *targetspeed.Tracker // nil if targets are all alike
	RetryBudget func(service string) *retrybudget.Budget
	Domain      string // failure domain of this host
	Regions     region.Map
	// PlaceViaHub asks a hub to choose an engine; false means that no hub could.
	PlaceViaHub func(ctx context.Context, args peers.PlaceArgs) (peers.PlaceReply, bool)
	// Permits are those that this host may grant its own runs if it is the placing hub; nil for none.
	Permits placement.Permits
	// Drain is the end of the process, before which a run must have ended.
	Drain *draining.Drain
	// CutOff reports whether this host reaches no target of the service of an incarnation; nil for never.
	CutOff func(incarnation string) bool
	// Stalls tells when this process was stalled, so that engines only seem silent.
	Stalls *stall.Detector
	// Observer records waits and pauses as metrics.
	Observer Observer
	// EstimateSpread estimates how many runs other hosts place before this host
	// learns of them.
	EstimateSpread func() int
	// Turns holds the runs that wait in the order of all hosts; nil if hosts order only their own.
	Turns *Turns
	// Memory counts large events as held for callers; nil for no bound.
	Memory *memquota.Budget
}

// Serve answers the call and returns its outcome.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, a *edge.AuthorizedCall) string {
	if a.Service.Engine == nil {
		// The configuration does not describe the engines: their capacity is unknown
		// and treated as unlimited.
		a.Service = &policy.Service{Name: a.Service.Name, MaxConnections: a.Service.MaxConnections, Engine: &policy.Engine{TokensPerEvent: 1, Slots: 1 << 20, MemoryTokens: 1 << 40}}
	}
	ctx, cancel := context.WithTimeout(ctx, a.TimeLeft())
	defer cancel()
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(a.TimeLeft() + writeSlack)); err != nil {
		a.Log.Warn("stream: write deadline could not be set", "error", err.Error())
	}
	r := newRun(s, a, w, control.Flush)
	defer close(r.done)
	rejection := s.crashSuspect(r)
	if rejection != nil {
		return s.reject(ctx, r, rejection)
	}
	segment, rejection := s.start(ctx, r)
	if rejection != nil {
		return s.reject(ctx, r, rejection)
	}
	return r.forward(ctx, segment)
}

// start places the run and opens a segment after the last event that the caller has, or
// returns the rejection.
func (s *Server) start(ctx context.Context, r *Run) (*segment, *edge.Rejection) {
	a := r.call
	for range maxPlacements {
		t, load := s.place(ctx, r)
		if t == nil {
			s.returnUnusedRetry(r)
			return nil, s.noCapacity(ctx, r)
		}
		r.attempts.tried[t.Key()] = true
		sentAt := bootclock.Now()
		segment, err := s.openOrStartElsewhere(ctx, r, t, load, edge.Dispatch{Account: a.Account, Urgency: a.Urgency, LastEventID: r.lastEventID.Load(), PermitUntil: r.attempts.takePermit()})
		if err == nil {
			if s.retryFailedResponse(r, segment) {
				continue
			}
			return segment, nil
		}
		rejection, retryable := s.startFailure(ctx, r, t, sentAt, err)
		if !retryable {
			return nil, rejection
		}
	}
	s.returnUnusedRetry(r)
	return nil, r.refusedOr(edge.ReasonNoTarget, startRetryAfter)
}

var (
	errNotExecuted    = errors.New("engine reported that it did not run the request")
	errKeyUnconfirmed = errors.New("API key could not be confirmed recently enough")
	errUnsigned       = errors.New("response lacks the target's signature or has a Content-Encoding")
)

// recordFailure records a failure of an engine, unless this host was stalled since the given
// time, so that the engine may not be at fault.
func (s *Server) recordFailure(t *targets.Target, since bootclock.Instant) {
	if !s.Stalls.Affected(since, bootclock.Now()) {
		s.Health.RecordFailure(t.Key(), 1)
	}
}

// startFailure returns the rejection for a failed start. It is retryable at another
// engine if no byte of the request was sent, and within the attempts and the retry budget
// if the engine did not run the request or the request may run again.
func (s *Server) startFailure(ctx context.Context, r *Run, t *targets.Target, sentAt bootclock.Instant, err error) (rejection *edge.Rejection, retryable bool) {
	a := r.call
	a.Log.Warn("stream: start failed", "target", t.ID, "address", t.Address, "age_ms", a.Age().Milliseconds(),
		"shared_parts", a.Call.Generation.SharedPartNames(), "error", err.Error())
	switch {
	case ctx.Err() != nil:
		if !errors.Is(err, errNotExecuted) && !errors.Is(err, targetconn.ErrNotSent) && !errors.Is(err, errKeyUnconfirmed) {
			r.attempts.mayHaveRun = true
		}
		return &edge.Rejection{Status: http.StatusGatewayTimeout, Reason: edge.ReasonTimeout}, false
	case errors.Is(err, edge.ErrHeld):
		if rejection := s.crashSuspect(r); rejection != nil {
			return rejection, false
		}
		return nil, true // released meanwhile
	case errors.Is(err, errKeyUnconfirmed):
		return r.attempts.unavailable(edge.ReasonUnconfirmed, startRetryAfter), false
	case errors.Is(err, errNotExecuted):
		r.attempts.sends.Add(1)
		return r.refusedOr(edge.ReasonTargetFull, startRetryAfter), s.takeAttempt(r)
	case errors.Is(err, targetconn.ErrOutlastsHelper):
		if !s.awaitReach(ctx, r, t) {
			return r.refusedOr(edge.ReasonNoTarget, startRetryAfter), false
		}
		delete(r.attempts.tried, t.Key())
		return nil, true
	case errors.Is(err, targetconn.ErrNotYet):
		delete(r.attempts.tried, t.Key()) // it may accept the run soon
		return nil, true
	case errors.Is(err, targetconn.ErrRefused):
		if errors.Is(err, targetconn.ErrEvacuated) {
			r.attempts.evacuation.refused++
		}
		return nil, true
	case errors.Is(err, targetconn.ErrNotSent):
		s.recordFailure(t, sentAt)
		return nil, true
	default:
		s.recordFailure(t, sentAt)
		r.attempts.sends.Add(1)
		r.attempts.mayHaveRun = true
		return r.attempts.unavailable(edge.ReasonMayHaveRun, 0), r.Resumable() && s.takeAttempt(r)
	}
}

// place waits for an engine with capacity and reserves the run's load there. The
// target is nil if none was found in time.
func (s *Server) place(ctx context.Context, r *Run) (*targets.Target, inflight.Load) {
	a := r.call
	load := s.startLoad(a, r.deliveredEvents())
	within := s.maxWait(a, load)
	if !s.view(a).AcceptsWithin(a.Service.Name, s.Queue.LenOf(queueOf(a)), within) {
		return nil, load // waiting is pointless: the run is rejected immediately
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ctx, endWait := s.Sender.Crashes.EndWaitWhenHeld(ctx, a)
	defer endWait()
	need := newRequirements(a, load, s.Domain)
	var placed Placement
	started := bootclock.Now()
	if !r.headSent {
		stopWatching := context.AfterFunc(s.Drain.Begun(), func() {
			if !s.Drain.Fits(a) {
				cancel()
			}
		})
		defer stopWatching()
	}
	urgency := a.Urgency
	if r.attempts.beside {
		urgency = math.MaxInt // runs without an engine go first
	}
	turn := s.Turns.begin(r, need, load, urgency, within)
	defer turn.end()
	if placed = turn.askFirst(ctx); placed.Target != nil || turn.isRejected() {
		return s.placed(r, placed, need, load, started, turn)
	}
	s.Queue.Acquire(ctx, queueOf(a), turn.rank(urgency), func() *targets.Target {
		view := s.view(a)
		if view.AllEvacuated(a.Service.Name) {
			cancel() // waiting is pointless: only the operator ends it
			return nil
		}
		if _, refused := view.Refusal(a.Service.Name); refused && !view.AcceptsWithin(a.Service.Name, 0, within-bootclock.Since(started)) {
			cancel() // waiting is pointless: the run is rejected with the time left
			return nil
		}
		if turn.hasJustAsked() {
			return nil
		}
		placed = s.reserveInTurn(ctx, a.Service, need, load, r.attempts.tried, turn)
		if turn.observe(placed); turn.isRejected() {
			cancel()
		}
		return placed.Target
	})
	return s.placed(r, placed, need, load, started, turn)
}

// placed logs how a wait for an engine has ended and returns the engine, nil if there is none.
func (s *Server) placed(r *Run, placed Placement, need placement.Requirements, load inflight.Load, started bootclock.Instant, turn *turn) (*targets.Target, inflight.Load) {
	a, t := r.call, placed.Target
	waited := bootclock.Since(started)
	if t != nil && !s.fitsDrain(r) {
		s.Inflight.Remove(t.Key(), load)
		t = nil
	}
	r.attempts.permitUntil = placed.PermitUntil
	s.Observer.ObservePlacementWait(waited, t != nil)
	turn.log(t != nil, waited)
	if t == nil {
		a.Log.Info("stream: no engine has capacity", "by", placed.DecidedBy, "engines_full", placed.Shortage.Memory, "engines_reading", placed.Shortage.Reading,
			"engines_tried", placed.Shortage.Tried, "memory_held_percent", placed.Shortage.HeldPercent, "needs_tokens", need.Tokens,
			"list_revision", s.Targets.View().Revision, "waited_ms", waited.Milliseconds(), "age_ms", a.Age().Milliseconds())
	} else {
		a.Log.Info("stream: engine chosen", "target", t.ID, "by", placed.DecidedBy, "runs", placed.LoadBefore.Runs, "expected_tokens", placed.LoadBefore.Tokens,
			"unread_tokens", placed.LoadBefore.Unread, "needs_tokens", need.Tokens, "hub_permit", placed.PermitUntil != 0,
			"list_revision", s.Targets.View().Revision, "age_ms", a.Age().Milliseconds())
	}
	return t, load
}

// fitsDrain reports whether the run is expected to end before the process does. A run
// whose caller has a part of the stream continues in any case.
func (s *Server) fitsDrain(r *Run) bool {
	return r.headSent || s.Drain.Fits(r.call)
}

// open sends the run to a target. Its load has been counted there already and is
// removed if the run does not start. onSilent may be nil, see watchSilence.
func (s *Server) open(ctx context.Context, r *Run, t *targets.Target, load inflight.Load, d edge.Dispatch, onSilent func()) (*segment, error) {
	unfinished := r.endStops(t)
	ahead := max(0, s.Inflight.TotalLoad(t.Key()).Unread-load.Unread)
	watch := s.watchStart(ctx, r, t, d)
	response, cancel, err := s.send(ctx, r, t, d, onSilent)
	if err != nil {
		watch.ended(err, false)
		s.Inflight.Remove(t.Key(), load)
		if unfinished || mayHaveBegun(err) {
			r.noteUnstopped(t)
		}
		return nil, err
	}
	if unfinished && response.Status != http.StatusOK {
		r.noteUnstopped(t)
	}
	return &segment{target: t, load: load, response: response, cancel: cancel, body: response, watch: watch, unreadAhead: ahead, memory: s.Memory}, nil
}

// send sends the call to a target and checks the head of its response. The returned
// function cancels the run at the target.
func (s *Server) send(ctx context.Context, r *Run, t *targets.Target, d edge.Dispatch, onSilent func()) (*targetconn.Response, context.CancelFunc, error) {
	a := r.call
	// A run that continues at another engine is not a new request: its key was
	// checked when it started.
	if d.ContinueFrom == nil && !a.StillAuthorized(ctx) {
		return nil, nil, errKeyUnconfirmed
	}
	ctx, cancel := context.WithCancel(ctx)
	stopWatching := s.watchSilence(ctx, r, t, onSilent)
	response, err := s.Sender.Send(ctx, a, t, d)
	stopWatching()
	if err != nil {
		cancel()
		return nil, nil, err
	}
	wire := s.Sender.Wire
	switch {
	case wire.NotExecuted(response.Status, response.Header):
		response.Discard()
		err = errNotExecuted
	case !wire.Signed(response.Header) || response.Header.Get("Content-Encoding") != "":
		response.Close()
		err = errUnsigned
	}
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return response, cancel, nil
}

// watchSilence suspects the engine if it has not begun to respond after suspectDelay. If
// other runs have failed there as well, so that it counts as failing, it calls onSilent,
// unless that is nil, for a run that may be sent again. A single slow response does not
// suffice, since on crowded engines a second start would only add load. The returned function
// ends the watch.
func (s *Server) watchSilence(ctx context.Context, r *Run, t *targets.Target, onSilent func()) (stop func()) {
	watch, stop := context.WithCancel(ctx)
	go func() {
		a := r.call
		for {
			started := bootclock.Now()
			wait.For(watch, suspectDelay(a))
			if watch.Err() != nil {
				return
			}
			if !s.Stalls.Affected(started, bootclock.Now()) {
				break // otherwise the response may wait unread
			}
		}
		a.Log.Warn("stream: engine is silent", "target", t.ID, "age_ms", a.Age().Milliseconds())
		s.Health.RecordFailure(t.Key(), 1)
		for onSilent != nil && r.MayRestart() && watch.Err() == nil {
			if cost := s.Health.FailureCost(t.Key()); cost > placement.MaxHealthyCost {
				a.Log.Warn("stream: engine is silent and failing; the run is also sent to another", "target", t.ID, "failure_cost", cost, "age_ms", a.Age().Milliseconds())
				onSilent()
				return
			}
			wait.For(watch, silenceCheckInterval)
		}
	}()
	return stop
}

// suspectDelay returns how long an engine may take to start its response before it
// is suspected to hang.
func suspectDelay(a *edge.AuthorizedCall) time.Duration {
	return max(minSuspectDelay, time.Duration(suspectDelayFactor*float64(a.Route.Objective)))
}

// runLoad returns the load of a run that has produced the given number of events.
func (s *Server) runLoad(a *edge.AuthorizedCall, events int) inflight.Load {
	load := inflight.Load{Runs: 1}
	prompt := 0
	if g := a.Call.Generation; g != nil {
		prompt = g.PromptTokens
	}
	produced := events * a.Service.Engine.TokensPerEvent
	load.Tokens = prompt + s.Lengths.Expected(a, produced)
	load.Held = prompt + produced
	return load
}

// startLoad returns the load of a run that starts after the given number of events: the
// engine reads the prompt and what was produced.
func (s *Server) startLoad(a *edge.AuthorizedCall, events int) inflight.Load {
	load := s.runLoad(a, events)
	load.Unread = load.Held
	return load
}

// Package streaming serves generations whose answer is a series of events. A run
// happens once; while it runs its memory may move to another engine, where the
// stream goes on at the next event.
package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

const (
	// reestimateEvents is how often the expected length is computed again.
	reestimateEvents = 16
	// maxPlacements bounds the engines that are tried without a byte leaving.
	maxPlacements = 4
	// silentObjectives is after how many latency objectives without an answer an
	// engine is suspected to hang; runs are sent only where one objective suffices.
	silentObjectives = 1.3
	leastSilence     = time.Second
	// writeSlack is how long after the deadline a caller may still take bytes.
	writeSlack = time.Second
)

// Observer takes durations of streams, for metrics.
type Observer interface {
	// Wait is how long a run waited for an engine with room; found tells whether
	// there was one.
	ObservePlacementWait(took time.Duration, found bool)
	// FirstEvent is the time from arrival to the first event.
	ObserveFirstEvent(took time.Duration)
	// Pause is the longest time between two events of a stream.
	ObserveLongestPause(longest time.Duration)
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
	RetryBudget func(service string) *retrybudget.Budget
	Domain      string // failure domain of this host
	// Ask asks a hub for an engine; false means that none can decide.
	PlaceViaHub func(ctx context.Context, args peers.PlaceArgs) (peers.PlaceReply, bool)
	// Observer counts waits and pauses, for metrics.
	Observer Observer
	// Spread returns how many runs other hosts place before this one hears of them.
	Spread func() int
}

// Serve answers the call and returns the word that says how it ended.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, a *edge.AuthorizedCall) string {
	if a.Service.Engine == nil {
		a.Service = &policy.Service{Name: a.Service.Name, MaxConnections: a.Service.MaxConnections, Engine: &policy.Engine{TokensPerEvent: 1, Slots: 1 << 20, MemoryTokens: 1 << 40}}
	}
	ctx, cancel := context.WithTimeout(ctx, a.TimeLeft())
	defer cancel()
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(a.TimeLeft() + writeSlack)); err != nil {
		a.Log.Warn("stream: no write deadline", "error", err.Error())
	}
	r := &Run{server: s, call: a, w: w, flush: control.Flush, ended: make(chan struct{})}
	defer close(r.ended)
	segment, refusal := s.begin(ctx, r)
	if refusal != nil {
		return s.refuse(ctx, r, refusal)
	}
	return r.forward(ctx, segment)
}

// begin finds an engine and starts the run.
func (s *Server) begin(ctx context.Context, r *Run) (*segment, *edge.Rejection) {
	a := r.call
	tried := make(map[string]bool)
	sends := 0
	for range maxPlacements {
		t, counted := s.place(ctx, a, tried)
		if t == nil {
			return nil, s.noRoom(ctx, a)
		}
		tried[t.Key()] = true
		segment, err := s.open(ctx, r, t, counted, edge.Dispatch{Account: a.Account, Urgency: a.Urgency})
		if err == nil {
			return segment, nil
		}
		refusal, again := s.failed(ctx, a, t, err)
		if errors.Is(err, errRejected) {
			if sends++; sends < a.Route.MaxAttempts && s.RetryBudget(a.Service.Name).TakeRetry() {
				continue
			}
		}
		if !again {
			return nil, refusal
		}
	}
	return nil, edge.Unavailable(edge.ReasonNoTarget, comeBack)
}

var (
	errRejected  = errors.New("the engine did not run it")
	errForbidden = errors.New("the API key is not confirmed any more")
	errUnsigned  = errors.New("the answer lacks the target's signature or is encoded")
)

// failed turns a failed start into a refusal. The run may be tried elsewhere if
// nothing left this host.
func (s *Server) failed(ctx context.Context, a *edge.AuthorizedCall, t *targets.Target, err error) (refusal *edge.Rejection, again bool) {
	a.Log.Warn("stream: start failed", "target", t.ID, "address", t.Address, "age_ms", a.Age().Milliseconds(), "error", err.Error())
	switch {
	case ctx.Err() != nil:
		return &edge.Rejection{Status: http.StatusGatewayTimeout, Reason: edge.ReasonTimeout}, false
	case errors.Is(err, errForbidden):
		return edge.Unavailable(edge.ReasonUnconfirmed, comeBack), false
	case errors.Is(err, errRejected):
		return edge.Unavailable(edge.ReasonTargetFull, comeBack), false
	case errors.Is(err, targetconn.ErrNotSent):
		s.Health.RecordFailure(t.Key(), 1)
		return nil, true
	default:
		s.Health.RecordFailure(t.Key(), 1)
		return &edge.Rejection{Status: http.StatusBadGateway, Reason: edge.ReasonMayHaveRun}, false
	}
}

// place waits for an engine with room and reserves it in the load book.
func (s *Server) place(ctx context.Context, a *edge.AuthorizedCall, tried map[string]bool) (*targets.Target, inflight.Load) {
	own := s.load(a, 0)
	if len(s.Targets.View().Available(a.Service.Name)) == 0 {
		return nil, own // nothing to wait for: the run is refused at once
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait(a, own))
	defer cancel()
	need := newNeed(a, own, s.Domain)
	var c Placement
	begun := bootclock.Now()
	t := s.Queue.Acquire(ctx, a.Urgency, func() *targets.Target {
		c = s.ReserveEngine(ctx, a.Service, need, own, tried)
		return c.Target
	})
	waited := bootclock.Since(begun)
	s.Observer.ObservePlacementWait(waited, t != nil)
	if t == nil {
		a.Log.Info("stream: no engine has room", "by", c.DecidedBy, "engines_full", c.Shortage.Memory, "engines_reading", c.Shortage.Reading,
			"engines_tried", c.Shortage.Tried, "memory_held_percent", c.Shortage.HeldPercent, "needs_tokens", need.Tokens,
			"list_revision", s.Targets.View().Revision, "waited_ms", waited.Milliseconds(), "age_ms", a.Age().Milliseconds())
	} else {
		a.Log.Info("stream: engine chosen", "target", t.ID, "by", c.DecidedBy, "runs", c.LoadBefore.Runs, "expected_tokens", c.LoadBefore.Tokens,
			"unread_tokens", c.LoadBefore.Unread, "needs_tokens", need.Tokens,
			"list_revision", s.Targets.View().Revision, "age_ms", a.Age().Milliseconds())
	}
	return t, own
}

// open sends the run to a target whose load is counted already, and takes the
// count back if it does not start.
func (s *Server) open(ctx context.Context, r *Run, t *targets.Target, counted inflight.Load, d edge.Dispatch) (*segment, error) {
	response, cancel, err := s.send(ctx, r.call, t, d)
	if err != nil {
		s.Inflight.Remove(t.Key(), counted)
		return nil, err
	}
	segment := &segment{target: t, response: response, cancel: cancel}
	r.enter(segment, counted)
	return segment, nil
}

func (s *Server) send(ctx context.Context, a *edge.AuthorizedCall, t *targets.Target, d edge.Dispatch) (*targetconn.Response, context.CancelFunc, error) {
	// A run that goes on elsewhere is no new request: its key was checked when it
	// began.
	if d.ContinueFrom == nil && !a.StillAuthorized(ctx) {
		return nil, nil, errForbidden
	}
	ctx, cancel := context.WithCancel(ctx)
	silent := time.AfterFunc(silentAfter(a), func() {
		a.Log.Warn("stream: engine is silent", "target", t.ID, "age_ms", a.Age().Milliseconds())
		s.Health.RecordFailure(t.Key(), 1)
	})
	response, err := s.Sender.Send(ctx, a.Call, t, d, a.TimeLeft())
	silent.Stop()
	if err != nil {
		cancel()
		return nil, nil, err
	}
	wire := s.Sender.Wire
	switch {
	case wire.NotExecuted(response.Status, response.Header):
		_, _ = io.Copy(io.Discard, response) // keeps the connection if it ends well
		err = errRejected
	case !wire.Signed(response.Header) || response.Header.Get("Content-Encoding") != "":
		err = errUnsigned
	}
	if err != nil {
		response.Close()
		cancel()
		return nil, nil, err
	}
	return response, cancel, nil
}

// silentAfter returns how long an engine may take to begin its answer before it
// is suspected to hang.
func silentAfter(a *edge.AuthorizedCall) time.Duration {
	return max(leastSilence, time.Duration(silentObjectives*float64(a.Route.Objective)))
}

// load returns what a run with so many events counts at its engine.
func (s *Server) load(a *edge.AuthorizedCall, events int) inflight.Load {
	l := inflight.Load{Runs: 1}
	prompt := 0
	if g := a.Call.Generation; g != nil {
		prompt = g.PromptTokens
	}
	made := events * a.Service.Engine.TokensPerEvent
	l.Tokens = prompt + s.Lengths.Expected(a, made)
	l.Held = prompt + made
	if events == 0 {
		l.Unread = prompt
	}
	return l
}

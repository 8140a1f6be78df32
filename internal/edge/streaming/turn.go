package streaming

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/waitlist"
)

const (
	// maxOthers bounds the waiting runs whose entries at the hub the first one keeps alive. A
	// message grows by about 60 bytes for each.
	maxOthers = 8
	// minAskInterval is the minimum time between two asks of a run. Loads change more often at
	// a hub, which gets the reports of all hosts.
	minAskInterval = 40 * time.Millisecond
)

// Turns holds the runs of this host that wait in the order of all hosts. It is safe for
// concurrent use. A nil Turns begins no turns.
type Turns struct {
	server *Server
	prefix string // of the IDs of this process's turns

	mu      sync.Mutex
	begun   uint64             // guarded by mu; counts the turns
	waiting map[string][]*turn // guarded by mu; by service, in order of arrival
}

// NewTurns returns an empty table of a server.
func NewTurns(s *Server) *Turns {
	return &Turns{server: s, prefix: strconv.FormatUint(rand.Uint64(), idBase) + "/", waiting: make(map[string][]*turn)}
}

// idBase is the base of the numbers in the IDs of turns.
const idBase = 36

// turn is the wait of one run. The goroutine that places the run uses it; others read its ask
// while they hold Turns.mu. The methods of a nil turn do nothing.
type turn struct {
	turns   *Turns
	run     *Run
	need    placement.Requirements
	load    inflight.Load
	began   bootclock.Instant
	latest  bootclock.Instant // latest useful start
	askedAt bootclock.Instant
	verdict *waitlist.Verdict // the last one; nil before the first
	ask     waitlist.Ask      // does not change; but for the times, which asked adds
}

// begin adds a run that has to start within a time.
func (t *Turns) begin(r *Run, need placement.Requirements, load inflight.Load, urgency int, within time.Duration) *turn {
	if t == nil {
		return nil
	}
	r.attempts.retryAfter = 0
	now := bootclock.Now()
	w := &turn{turns: t, run: r, need: need, load: load, began: now, latest: now.Add(within)}
	w.ask = waitlist.Ask{Urgency: urgency, Account: r.call.Account, Fingerprint: r.call.Fingerprint(),
		Tokens: need.Tokens, Output: need.Output, Unread: need.Unread, Objective: need.Objective, Again: r.headSent || len(r.attempts.tried) > 0}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun++
	w.ask.ID = t.prefix + strconv.FormatUint(t.begun, idBase) // callers may send the same request ID twice
	service := r.call.Service.Name
	t.waiting[service] = append(t.waiting[service], w)
	return w
}

// end removes the run.
func (w *turn) end() {
	if w == nil {
		return
	}
	t, service := w.turns, w.run.call.Service.Name
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.waiting[service][:0]
	for _, o := range t.waiting[service] {
		if o != w {
			kept = append(kept, o)
		}
	}
	clear(t.waiting[service][len(kept):])
	if t.waiting[service] = kept; len(kept) == 0 {
		delete(t.waiting, service)
	}
}

// asked returns what the run asks for as of now.
func (w *turn) asked(now bootclock.Instant) waitlist.Ask {
	a, call := w.ask, w.run.call
	a.Age, a.UsefulFor, a.TimeLeft = now.Sub(call.Arrived), w.latest.Sub(now), call.Deadline.Sub(now)
	return a
}

// addTo adds the run's place and the runs that wait with it to a placement call.
func (w *turn) addTo(args *peers.PlaceArgs) {
	if w == nil {
		return
	}
	now := bootclock.Now()
	w.askedAt = now
	ask := w.asked(now)
	args.Ask = &ask
	w.turns.mu.Lock()
	defer w.turns.mu.Unlock()
	for _, o := range w.turns.waiting[args.Service] {
		if o != w && len(args.Others) < maxOthers {
			args.Others = append(args.Others, o.asked(now))
		}
	}
}

// askFirst asks the hub for a run that has just arrived, wherever it will be in the queue of this
// host, so that it is placed or rejected at once.
func (w *turn) askFirst(ctx context.Context) Placement {
	if w == nil {
		return Placement{}
	}
	placed, answered := w.turns.server.reserveAtHub(ctx, w.run.call.Service, w.need, w.load, w.run.attempts.tried, w)
	if !answered {
		w.askedAt = 0 // the queue may choose at once
	}
	w.observe(placed)
	return placed
}

// observe keeps what the hub answered.
func (w *turn) observe(placed Placement) {
	if w == nil || placed.Order == nil {
		return
	}
	w.verdict = placed.Order
	if w.verdict.Rejected {
		w.run.attempts.retryAfter = w.verdict.RetryAfter
	}
}

// isRejected reports whether the hub has rejected the run.
func (w *turn) isRejected() bool { return w != nil && w.verdict != nil && w.verdict.Rejected }

// hasJustAsked reports whether it is too early to ask again.
func (w *turn) hasJustAsked() bool {
	return w != nil && w.askedAt != 0 && bootclock.Since(w.askedAt) < minAskInterval
}

// rank returns the run's urgency in the queue of this host, which includes its class.
func (w *turn) rank(urgency int) int {
	if w == nil || urgency == math.MaxInt {
		return urgency
	}
	class := waitlist.Newcomer
	if w.verdict != nil {
		class = w.verdict.Class
	}
	return waitlist.Classes*urgency + int(class)
}

// log logs the end of a wait that the order of all hosts decided.
func (w *turn) log(found bool, waited time.Duration) {
	if w == nil || w.verdict == nil {
		return
	}
	v, message := w.verdict, "waitlist: request placed"
	switch {
	case !found:
		message = "waitlist: request rejected"
	case v.Position == 0 && v.Class == waitlist.Newcomer && waited < minAskInterval:
		return // nothing waited
	}
	w.run.call.Log.Info(message, "position", v.Position, "entries", v.Entries, "predicted_ms", v.Predicted.Milliseconds(), "class", v.Class.String(),
		"inputs_age_ms", v.InputsAge.Milliseconds(), "waited_ms", waited.Milliseconds(), "retry_after_ms", v.RetryAfter.Milliseconds())
}

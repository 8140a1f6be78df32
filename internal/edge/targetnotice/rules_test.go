package targetnotice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

const (
	drawnOrders    = 10_000
	eventsPerOrder = 150
	// maxTransit is the longest time of a request or an answer on its way. Twice that is
	// within the half second that the rules grant.
	maxTransit = 240 * time.Millisecond
	onTheWay   = 500 * time.Millisecond
	// maxRequestsInPause is how many requests may reach a target in a pause.
	maxRequestsInPause = 2
	// mostInBurst is how many requests wait for a target at the end of its pause at most.
	mostInBurst = 6
)

// world is a host and its targets in virtual time. It checks the rules at the targets.
type world struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     bootclock.Instant
	queue   events
	tracker *Tracker
	boots   int // starts of the host
	listed  []*incarnation
	starts  int
	reached int // requests of callers
	trials  int
}

// incarnation is a target, with what the host has been told since its last start.
type incarnation struct {
	key         string
	leaving     bool
	rejectUntil bootclock.Instant
	toldLeaving bootclock.Instant // 0 if it was not told
	pauses      []window
	boots       int // start of the host to which toldLeaving and pauses belong
	trial       trial
}

// trial is what the host has sent since the end of the last pause that it knows of.
type trial struct {
	boots      int // start of the host
	pauses     int // pauses that the host has been told of
	from, to   bootclock.Instant
	unanswered int
	answered   bool
}

// window is a span in which a target wants nothing.
type window struct {
	from, to bootclock.Instant
	reached  int
}

type event struct {
	at bootclock.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now.Add(d), do}) }

// upTo returns a random duration below d.
func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

// start adds an incarnation, which may take the place of another in the list.
func (w *world) start() {
	w.starts++
	s := &incarnation{key: fmt.Sprint("a@", w.starts)}
	require.Equal(w.t, Allowed, w.tracker.Check(s.key, Request, w.now, w.now), "a new incarnation must start clean")
	if len(w.listed) < 4 {
		w.listed = append(w.listed, s)
		return
	}
	w.listed[w.random.IntN(len(w.listed))] = s
}

// any returns a target that the list calls ready, whatever the target has said.
func (w *world) any() *incarnation { return w.listed[w.random.IntN(len(w.listed))] }

// send makes the host try a random use of a target. Requests may be old ones that are sent
// again.
func (w *world) send() {
	s := w.any()
	w.sendTo(s)
	if w.random.IntN(10) == 0 {
		w.burst(s)
	}
}

// burst makes the host try several uses of a target at about the same time.
func (w *world) burst(s *incarnation) {
	for range w.random.IntN(mostInBurst) {
		w.after(w.upTo(maxTransit/8), func() { w.sendTo(s) })
	}
}

func (w *world) sendTo(s *incarnation) {
	arrived, boot := w.now.Add(-w.upTo(3*time.Second)), w.boots
	use := []Use{Request, Request, Request, Continuation, Probe, Control}[w.random.IntN(6)]
	if w.tracker.Check(s.key, use, arrived, w.now) != Allowed {
		return
	}
	w.after(w.upTo(maxTransit/4), func() { // the connection is established
		if boot != w.boots {
			return
		}
		verdict, trial := w.tracker.Admit(s.key, use, arrived, w.now)
		w.checkTrial(s, use, verdict, trial != nil)
		if verdict != Allowed {
			return
		}
		end := w.trialEnds(s, trial)
		if w.random.IntN(8) == 0 { // its caller leaves, or the connection breaks
			w.after(w.upTo(maxTransit), func() { end(false) })
			return
		}
		w.after(w.upTo(maxTransit), func() { w.receive(s, use, arrived, boot, end) })
	})
}

// checkTrial checks that after a pause one request after the other is sent, until one is
// answered or trialTimeout has passed since the first, and that no other request is withheld.
func (w *world) checkTrial(s *incarnation, use Use, verdict Verdict, isTrial bool) {
	p := &s.trial
	awaited := p.boots == w.boots && w.now >= p.from && w.now < p.to && !p.answered
	if use != Request || !awaited {
		require.NotEqual(w.t, OnTrial, verdict, "seed %d: %s is withheld without need", w.seed, s.key)
		require.False(w.t, isTrial, "seed %d: %s", w.seed, s.key)
		return
	}
	switch {
	case verdict == Leaving:
	case p.unanswered > 0:
		require.Equal(w.t, OnTrial, verdict, "seed %d: a crowd is sent to %s after its pause", w.seed, s.key)
	default:
		require.Equal(w.t, Allowed, verdict, "seed %d: %s is held back by a trial that has ended", w.seed, s.key)
		require.True(w.t, isTrial, "seed %d: %s", w.seed, s.key)
		p.unanswered++
		p.to = min(p.to, w.now.Add(trialTimeout))
		w.trials++
	}
}

// trialEnds returns the function that ends a trial at the host, which may have restarted.
func (w *world) trialEnds(s *incarnation, t *Trial) (end func(answered bool)) {
	boot, pauses := w.boots, s.trial.pauses
	return func(answered bool) {
		if boot != w.boots {
			return
		}
		w.tracker.EndTrial(t, answered)
		if t != nil && s.trial.pauses == pauses {
			s.trial.unanswered--
			s.trial.answered = answered
		}
	}
}

// receive checks the rules at the target and lets it answer.
func (w *world) receive(s *incarnation, use Use, arrived bootclock.Instant, boot int, end func(answered bool)) {
	if use == Request || use == Continuation {
		w.check(s, arrived, boot)
	}
	pause, told := time.Duration(0), w.now
	if w.now < s.rejectUntil && use != Control {
		pause = s.rejectUntil.Sub(w.now)
		if w.random.IntN(4) == 0 {
			pause = w.upTo(pause) // a shorter one than the last answer stated
		}
	}
	leaving := s.leaving
	w.after(w.upTo(maxTransit), func() {
		if boot != w.boots {
			return // the host has restarted
		}
		s.forgetEarlierBoots(boot)
		if leaving {
			w.tracker.ObserveLeaving(s.key, w.now)
			if s.toldLeaving == 0 {
				s.toldLeaving = w.now
			}
		}
		if pause > 0 {
			until, _ := w.tracker.ObservePause(s.key, w.now, pause, w.random.Float64())
			s.trial = trial{boots: boot, pauses: s.trial.pauses + 1, from: until, to: until.Add(trialWindow)}
			if w.random.IntN(2) == 0 && pause < maxPause {
				w.after(until.Sub(w.now), func() { w.burst(s) })
			}
		}
		end(true)
	})
	if pause > 0 && boot == w.boots {
		s.forgetEarlierBoots(boot)
		s.pauses = append(s.pauses, window{from: told.Add(onTheWay), to: told.Add(min(pause, maxPause))})
	}
}

// forgetEarlierBoots drops what the host was told before it restarted, which excuses it.
func (s *incarnation) forgetEarlierBoots(boot int) {
	if s.boots < boot {
		s.boots, s.toldLeaving, s.pauses = boot, 0, nil
	}
}

func (w *world) check(s *incarnation, arrived bootclock.Instant, boot int) {
	w.reached++
	if boot != w.boots || s.boots != w.boots {
		return
	}
	if s.toldLeaving != 0 && arrived > s.toldLeaving {
		w.t.Fatalf("seed %d: DRAIN: %s got a request that arrived %v after its leaving answer", w.seed, s.key, arrived.Sub(s.toldLeaving))
	}
	for i := range s.pauses {
		p := &s.pauses[i]
		if w.now >= p.from && w.now < p.to {
			if p.reached++; p.reached > maxRequestsInPause {
				w.t.Fatalf("seed %d: BUDGET: %s got %d requests in a pause of %v", w.seed, s.key, p.reached, p.to.Sub(p.from))
			}
		}
	}
}

// disturb changes a target or the host.
func (w *world) disturb() {
	s := w.any()
	switch w.random.IntN(10) {
	case 0, 1:
		s.leaving = true
	case 2, 3, 4:
		pause := w.upTo(8 * time.Second)
		if w.random.IntN(10) == 0 {
			pause = 1 << 60
		}
		s.rejectUntil = max(s.rejectUntil, w.now.Add(pause))
	case 5:
		s.rejectUntil = 0
	case 6, 7, 8:
		w.start()
	case 9:
		w.tracker, w.boots = New(), w.boots+1
	}
}

func (w *world) run() {
	for range 3 {
		w.start()
	}
	for range eventsPerOrder {
		d := w.upTo(10 * time.Second)
		if w.random.IntN(6) == 0 {
			w.after(d, w.disturb)
		} else {
			w.after(d, w.send)
		}
	}
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.checkTargetsComeBack()
}

// checkTargetsComeBack checks that no pause outlasts maxPause, whatever a target asked for.
func (w *world) checkTargetsComeBack() {
	late := w.now.Add(maxPause + maxSpread)
	for _, s := range w.listed {
		if !s.leaving {
			require.Equal(w.t, Allowed, w.tracker.Check(s.key, Request, late, late), "seed %d: %s", w.seed, s.key)
		}
	}
}

// Answers, sends, restarts of targets and of the host come in random orders, while the
// target list calls every target ready.
func TestRulesHoldInRandomOrders(t *testing.T) {
	reached, trials := 0, 0
	for seed := uint64(1); seed <= drawnOrders; seed++ {
		w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), now: at(0), tracker: New()}
		w.run()
		reached += w.reached
		trials += w.trials
	}
	require.Greater(t, reached, 10*drawnOrders, "the targets must get requests")
	require.Greater(t, trials, drawnOrders, "pauses must end in trials")
	t.Logf("%d orders, %d requests reached their targets, %d trials after pauses", drawnOrders, reached, trials)
}

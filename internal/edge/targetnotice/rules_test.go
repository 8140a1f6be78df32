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
}

// incarnation is a target, with what the host has been told since its last start.
type incarnation struct {
	key         string
	leaving     bool
	rejectUntil bootclock.Instant
	toldLeaving bootclock.Instant // 0 if it was not told
	pauses      []window
	boots       int // start of the host to which toldLeaving and pauses belong
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
	s, arrived, boot := w.any(), w.now.Add(-w.upTo(3*time.Second)), w.boots
	use := []Use{Request, Request, Request, Continuation, Probe, Control}[w.random.IntN(6)]
	if w.tracker.Check(s.key, use, arrived, w.now) != Allowed {
		return
	}
	w.after(w.upTo(maxTransit/4), func() { // the connection is established
		if boot == w.boots && w.tracker.Admit(s.key, use, arrived, w.now) == Allowed {
			w.after(w.upTo(maxTransit), func() { w.receive(s, use, arrived, boot) })
		}
	})
}

// receive checks the rules at the target and lets it answer.
func (w *world) receive(s *incarnation, use Use, arrived bootclock.Instant, boot int) {
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
			w.tracker.ObservePause(s.key, w.now, pause, w.random.Float64())
		}
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
	reached := 0
	for seed := uint64(1); seed <= drawnOrders; seed++ {
		w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), now: at(0), tracker: New()}
		w.run()
		reached += w.reached
	}
	require.Greater(t, reached, 10*drawnOrders, "the targets must get requests")
	t.Logf("%d orders, %d requests reached their targets", drawnOrders, reached)
}

package quarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// orders is how many orders TestGuiltyPartsAreFoundInDrawnOrders draws.
var orders = flag.Uint64("orders", 50, "orders of events to draw")

// simFleet plays hosts, targets and requests on virtual time.
type simFleet struct {
	rng     *rand.Rand
	now     Instant
	queue   simQueue
	hosts   []*simHost
	targets []*simTarget
	guilty  map[Key]bool
	until   Instant
	cut     bool // one host's messages are lost
	long    bool // plays probations, without restarts

	crashes     map[Key][]Instant // by guilty key
	reached     map[Key][]Instant // sends by guilty key
	heldSince   map[string]Instant
	longestHold time.Duration // of an innocent key on one host
	longestKey  string
}

type simHost struct {
	name    string
	tracker *Tracker
	id      int            // changes with a restart
	sent    map[int]uint64 // sequence number of this host's evidence that a hub has, by the hub's id
	got     map[int]uint64 // sequence number of a hub's evidence that this host has, by the hub's id
}

type simTarget struct {
	name    string
	domain  int
	running []*simRun
}

// simRun is a request at a target.
type simRun struct {
	host   *simHost
	sentAt Instant
	began  Instant // 0 before the first event
	keys   []Key
	ended  bool
}

type simEvent struct {
	at Instant
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (f *simFleet) after(d time.Duration, do func()) { heap.Push(&f.queue, simEvent{f.now + d, do}) }

func (f *simFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)+1))
}

const simHubs = 2

func newSimFleet(seed uint64) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(seed, 26)), now: epoch, until: epoch + 16*time.Second, guilty: make(map[Key]bool), crashes: make(map[Key][]Instant),
		reached: make(map[Key][]Instant), heldSince: make(map[string]Instant),
	}
	if seed%20 == 0 {
		f.long, f.until = true, epoch+4*time.Minute
	}
	for i := range 3 + f.rng.IntN(4) {
		h := &simHost{name: fmt.Sprint("host-", i)}
		f.hosts = append(f.hosts, h)
		f.restart(h)
		f.after(f.between(0, 80*ms), func() { f.sync(h) })
	}
	for i := range 8 + f.rng.IntN(8) {
		f.targets = append(f.targets, &simTarget{name: fmt.Sprint("t-", i), domain: i % 3})
	}
	for i := range 1 + f.rng.IntN(2) {
		f.guilty[Part(fmt.Sprint("guilty-", i))] = true
	}
	return f
}

func (f *simFleet) names() []string {
	names := make([]string, len(f.hosts))
	for i, h := range f.hosts {
		names[i] = h.name
	}
	return names
}

// restart replaces the tracker of a host by one that knows nothing.
func (f *simFleet) restart(h *simHost) {
	h.tracker = New(h.name, nil)
	h.tracker.Hosts = f.names
	h.id = f.rng.Int()
	h.sent, h.got = make(map[int]uint64), make(map[int]uint64)
}

// tell sends a host's evidence at once to the hubs, and from there to all hosts.
func (f *simFleet) tell(h *simHost) {
	receivers := f.hosts[:simHubs]
	if slices.Contains(receivers, h) {
		receivers = f.hosts
	}
	e, _ := h.tracker.Since(f.now, 0)
	for _, receiver := range receivers {
		if receiver == h || f.lost(h, receiver) {
			continue
		}
		f.after(f.between(1*ms, 60*ms), func() {
			if receiver.tracker.Merge(f.now, e) && slices.Contains(f.hosts[:simHubs], receiver) {
				f.after(f.between(5*ms, 250*ms), func() { f.tell(receiver) })
			}
		})
	}
}

func (f *simFleet) lost(a, b *simHost) bool {
	last := f.hosts[len(f.hosts)-1]
	return f.rng.IntN(8) == 0 || f.cut && (a == last || b == last)
}

// sync is a host's regular exchange with both hubs.
func (f *simFleet) sync(h *simHost) {
	f.exchange(h)
	f.after(f.between(80*ms, 160*ms), func() { f.sync(h) })
}

// exchange exchanges evidence between a host and both hubs.
func (f *simFleet) exchange(h *simHost) {
	for _, hub := range f.hosts[:simHubs] {
		if hub == h || f.lost(h, hub) {
			continue
		}
		sent, next := h.tracker.Since(f.now, h.sent[hub.id])
		hub.tracker.Merge(f.now, sent)
		h.sent[hub.id] = next
		got, next := hub.tracker.Since(f.now, h.got[hub.id])
		h.tracker.Merge(f.now, got)
		h.got[hub.id] = next
	}
}

// send plays one request.
func (f *simFleet) send(keys []Key) {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	if h.tracker.Admit(f.now, keys) != nil {
		return
	}
	t := f.targets[f.rng.IntN(len(f.targets))]
	r := &simRun{host: h, sentAt: f.now, keys: keys}
	t.running = append(t.running, r)
	var guilty []Key
	for _, key := range keys {
		if f.guilty[key] {
			guilty = append(guilty, key)
			f.reached[key] = append(f.reached[key], f.now)
		}
	}
	start := f.between(30*ms, 300*ms)
	if len(guilty) > 0 {
		f.after(start, func() {
			if !r.ended {
				for _, key := range guilty {
					f.crashes[key] = append(f.crashes[key], f.now)
				}
				f.crash(t)
			}
		})
		return
	}
	f.after(start, func() {
		r.began = f.now
		f.after(f.between(50*ms, 1000*ms), func() {
			if r.ended {
				return
			}
			if h.tracker.ReportSurvival(f.now, r.sentAt, r.began, t.name, keys) {
				f.tell(h)
			}
			f.after(f.between(0, 3*time.Second), func() { r.ended = true })
		})
	})
}

// crash ends a target with all its runs. Another incarnation takes its place.
func (f *simFleet) crash(t *simTarget) {
	silent := f.rng.IntN(3) == 0
	for _, r := range t.running {
		if r.ended {
			continue
		}
		r.ended = true
		at, known := f.now, f.between(0, 20*ms)
		if silent {
			at = max(r.sentAt+2*time.Second, f.now)
			known = at - f.now
		}
		if r.began != 0 && f.now-r.began > time.Second {
			continue
		}
		h, tracker := r.host, r.host.tracker
		f.after(known, func() {
			if h.tracker == tracker && tracker.ReportFailure(f.now, at, t.name, r.keys) {
				f.tell(h)
			}
		})
	}
	t.running = nil
	i := slices.Index(f.targets, t)
	f.targets[i] = &simTarget{name: fmt.Sprint(t.name, "'"), domain: t.domain}
}

// disturb plays something that is not the guilty parts' fault.
func (f *simFleet) disturb() {
	kinds := 5
	if f.long {
		kinds = 3 // a host that has just started sends until it has heard of the others
	}
	switch f.rng.IntN(kinds) {
	case 0:
		f.crash(f.targets[f.rng.IntN(len(f.targets))])
	case 1:
		domain := f.rng.IntN(3)
		for _, t := range slices.Clone(f.targets) {
			if t.domain == domain {
				f.crash(t)
			}
		}
	case 2:
		f.cut = true
		f.after(f.between(100*ms, 1500*ms), func() { f.cut = false })
	case 3:
		f.restart(f.hosts[f.rng.IntN(len(f.hosts))])
	case 4: // both hubs start again
		f.restart(f.hosts[0])
		f.after(f.between(0, 500*ms), func() { f.restart(f.hosts[1]) })
	}
	f.after(f.between(1500*ms, 6*time.Second), f.disturb)
}

// play runs the scenario.
func (f *simFleet) play() {
	n := 0
	var sound, guilty func()
	prefix := func() []Key {
		n++
		return []Key{Part("first"), Part(fmt.Sprint("account-", f.rng.IntN(3))), Part(fmt.Sprint("subject-", f.rng.IntN(12)))}
	}
	sound = func() {
		f.send(append(prefix(), Request(fmt.Sprint(n))))
		f.after(f.between(5*ms, 60*ms), sound)
	}
	depth := f.rng.IntN(4) // of the guilty part
	guilty = func() {
		keys := append(prefix()[:2], Request(fmt.Sprint(n)))
		all := make([]Key, 0, len(f.guilty))
		for i := range len(f.guilty) {
			all = append(all, Part(fmt.Sprint("guilty-", i)))
		}
		f.send(slices.Insert(keys, min(depth, 2), all[f.rng.IntN(len(all))]))
		f.after(f.between(20*ms, 400*ms), guilty)
	}
	f.after(0, sound)
	f.after(2*time.Second, guilty)
	f.after(f.between(0, 4*time.Second), f.disturb)
	for len(f.queue) > 0 && f.now < f.until {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.do()
		f.observeHolds()
	}
}

// observeHolds measures for how long hosts hold innocent keys back.
func (f *simFleet) observeHolds() {
	held := make(map[string]bool)
	for _, h := range f.hosts {
		for key := range h.tracker.held {
			if f.guilty[key] {
				continue
			}
			name := h.name + " " + key.String()
			held[name] = true
			if f.heldSince[name] == 0 {
				f.heldSince[name] = f.now
			}
			if d := f.now - f.heldSince[name]; d > f.longestHold {
				f.longestHold, f.longestKey = d, name
			}
		}
	}
	for name := range f.heldSince {
		if !held[name] {
			delete(f.heldSince, name)
		}
	}
}

// In every drawn order of crashes, survivals, losses, cuts and restarts, requests with a guilty
// part stop reaching targets, and innocent parts stay usable.
func TestGuiltyPartsAreFoundInDrawnOrders(t *testing.T) {
	t.Parallel()
	enough, longest := 0, time.Duration(0)
	for seed := range *orders {
		f := newSimFleet(seed)
		f.play()
		for key := range f.guilty {
			crashes := f.crashes[key]
			if len(crashes) < 5 {
				continue
			}
			enough++
			late := 0
			for _, at := range f.reached[key] {
				if at > crashes[4]+3*time.Second {
					late++
				}
			}
			assert.LessOrEqual(t, late, 3, "seed %d: sends of %s later than 3 s after the fifth crash", seed, key)
		}
		assert.Less(t, f.longestHold, 2*time.Second, "seed %d: %s", seed, f.longestKey)
		longest = max(longest, f.longestHold)
	}
	t.Logf("%d guilty parts with five crashes or more; an innocent part was held back for %v at most", enough, longest)
}

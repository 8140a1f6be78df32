package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// repeatedFleet plays a request that ends each target that begins to run it, on a service of
// few targets that are back some seconds later, on virtual time.
type repeatedFleet struct {
	*simFleet
	key      Key
	down     map[string]bool // targets that have ended and are not back
	restarts bool            // hosts start again meanwhile
	every    time.Duration   // mean time between the sends of callers
	errors   float64         // share of sends that a target answers with an error of its own
	started  map[*simHost]Instant
	sends    []Instant // of hosts that were in touch
	ends     []Instant // of targets
}

// lateSendsAllowed is how many requests may reach targets later than contact after the third end.
const (
	lateSendsAllowed = 3
	repeatedContact  = 3 * time.Second
	repeatedFor      = 10 * time.Minute
)

func newRepeatedFleet(seed uint64, hosts, targets int) *repeatedFleet {
	f := &repeatedFleet{
		simFleet: &simFleet{rng: rand.New(rand.NewPCG(seed, 37)), now: epoch, until: epoch + repeatedFor, heldSince: make(map[string]Instant)},
		key:      Request("GET", "/check"), down: make(map[string]bool), every: 60 * ms, started: make(map[*simHost]Instant),
	}
	for i := range hosts {
		h := &simHost{name: fmt.Sprint("host-", i)}
		f.hosts = append(f.hosts, h)
		f.restart(h)
		f.after(f.between(0, time.Second), func() { f.syncEvery(h) })
	}
	for i := range targets {
		f.targets = append(f.targets, &simTarget{name: fmt.Sprint("t-", i), domain: i})
	}
	return f
}

// syncEvery is a host's regular exchange, as seldom as in a large fleet.
func (f *repeatedFleet) syncEvery(h *simHost) {
	f.exchange(h)
	f.after(f.between(80*ms, max(160*ms, time.Duration(len(f.hosts))*6*ms)), func() { f.syncEvery(h) })
}

func (f *repeatedFleet) sendAnywhere() {
	f.after(time.Duration(f.rng.ExpFloat64()*float64(f.every)), f.sendAnywhere)
	f.try(f.hosts[f.rng.IntN(len(f.hosts))], 2)
}

// try sends the request to a target that is not known to be down, as often as the route allows.
func (f *repeatedFleet) try(h *simHost, attempts int) {
	up := slices.DeleteFunc(slices.Clone(f.targets), func(t *simTarget) bool { return f.down[t.name] })
	if attempts == 0 || len(up) == 0 || h.tracker.Admit(f.now, []Key{f.key}) != nil {
		return
	}
	t, tracker, sentAt := up[f.rng.IntN(len(up))], h.tracker, f.now
	if started, restarted := f.started[h]; !restarted || f.now > started+repeatedContact {
		f.sends = append(f.sends, f.now)
	}
	if f.rng.Float64() < f.errors {
		f.after(5*ms, func() { tracker.ReportSurvival(f.now, sentAt, sentAt, t.name, nil) })
		return
	}
	f.after(f.between(40*ms, 80*ms), func() { f.end(t) })
	f.after(f.between(80*ms, 90*ms), func() {
		if h.tracker == tracker && tracker.ReportFailure(f.now, f.now, t.name, []Key{f.key}) {
			f.tell(h)
		}
		f.try(h, attempts-1)
	})
}

// end ends a target, which is back as another incarnation about when the others are.
func (f *repeatedFleet) end(t *simTarget) {
	if f.down[t.name] {
		return
	}
	f.ends = append(f.ends, f.now)
	f.down[t.name] = true
	f.after(f.between(3100*ms, 3500*ms), func() {
		f.targets[slices.Index(f.targets, t)] = &simTarget{name: t.name + "'", domain: t.domain}
	})
}

// restartHosts replaces a third of the hosts over ten minutes.
func (f *repeatedFleet) restartHosts() {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	f.restart(h)
	f.started[h] = f.now
	f.after(f.between(0, 2*repeatedFor*3/time.Duration(len(f.hosts))), f.restartHosts)
}

// late returns the sends later than contact after the third end.
func (f *repeatedFleet) late() []Instant {
	if len(f.ends) < requestCrashes {
		return nil
	}
	from := f.ends[requestCrashes-1] + repeatedContact
	return slices.DeleteFunc(slices.Clone(f.sends), func(at Instant) bool { return at <= from })
}

func (f *repeatedFleet) playRepeated() {
	f.after(time.Second, f.sendAnywhere)
	if f.restarts {
		f.after(f.between(0, 10*time.Second), f.restartHosts)
	}
	for len(f.queue) > 0 && f.now < f.until {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.do()
	}
}

// BUDGET: a request that ends all targets of a service at almost the same moment was sent on
// each time that they were back.
func TestRequestThatEndsAllTargetsAtOnceIsSentAgain(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{6, 60, 300} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts%s", hosts, map[bool]string{true: " with restarts"}[restarts]), func(t *testing.T) {
				t.Parallel()
				worst := 0
				for seed := range uint64(max(5, 120/hosts)) {
					f := newRepeatedFleet(seed, hosts, 3)
					f.restarts = restarts
					f.playRepeated()
					late := f.late()
					worst = max(worst, len(late))
					assert.LessOrEqual(t, len(late), lateSendsAllowed, "seed %d: ends %v, late sends %v", seed, since(f.ends), since(late))
				}
				t.Logf("at most %d late sends", worst)
			})
		}
	}
}

// BUDGET: a request on probation that its target answered with an error was tried again every 10 s.
func TestTrialsThatEndInErrorsAddUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		f := newRepeatedFleet(seed, 6, 3)
		f.errors = 0.14
		f.playRepeated()
		late := f.late()
		assert.LessOrEqual(t, len(late), lateSendsAllowed, "seed %d: ends %v, late sends %v", seed, since(f.ends), since(late))
	}
}

// since returns the times since the beginning of the scenario.
func since(at []Instant) []time.Duration {
	out := make([]time.Duration, len(at))
	for i, a := range at {
		out[i] = (a - epoch).Round(ms)
	}
	return out
}

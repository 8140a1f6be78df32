package warmup

import (
	"container/heap"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
)

const (
	incarnation = "target@1"
	start       = bootclock.Instant(100 * time.Second)
)

// simHost is a host of a simulated fleet.
type simHost struct {
	*Tracker
	name     string
	list     func(now bootclock.Instant) []string
	learnsAt bootclock.Instant
	// wants reports whether the host has requests for the target.
	wants   func(now bootclock.Instant) bool
	replies loanReplies
	// isHub reports whether the host takes itself for the hub that places the runs of all hosts.
	isHub func(now bootclock.Instant) bool
}

// loanReply is the answer of another host that is on its way.
type loanReply struct {
	lender             string
	args               LoanArgs
	reply              LoanReply
	askedAt, arrivesAt bootclock.Instant
}

type loanReplies []loanReply

func (l loanReplies) Len() int           { return len(l) }
func (l loanReplies) Less(i, j int) bool { return l[i].arrivesAt < l[j].arrivesAt }
func (l loanReplies) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *loanReplies) Push(x any)        { *l = append(*l, x.(loanReply)) }
func (l *loanReplies) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// simFleet lets all hosts send to one cold target.
type simFleet struct {
	hub    bool // a hub places the runs of all hosts
	hosts  []*simHost
	byName map[string]*simHost
	draw   *rand.Rand
	step   time.Duration // in which each host acts once
	loses  float64       // share of the calls between hosts that are lost
	late   float64       // share of the runs with a permit of the hub that are sent as late as may be
	sent   []bootclock.Instant
}

func newSimFleet(n int, rate float64, bound node.ColdBound, seed uint64) *simFleet {
	f := &simFleet{byName: make(map[string]*simHost), draw: rand.New(rand.NewPCG(seed, 1)), step: 20 * time.Millisecond}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	for _, name := range names {
		h := &simHost{name: name, learnsAt: start, list: func(bootclock.Instant) []string { return names }, wants: func(bootclock.Instant) bool { return true }, isHub: func(bootclock.Instant) bool { return false }}
		h.Tracker = New(slog.New(slog.DiscardHandler), name, bound, func(string) (float64, time.Duration) { return rate, time.Minute })
		h.PlacedByHub = func(string) bool { return f.hub }
		f.hosts, f.byName[name] = append(f.hosts, h), h
	}
	return f
}

// run plays the fleet from the time that its hosts may learn of the target.
func (f *simFleet) run(lasts time.Duration) {
	// The established hosts have had their lists for a while.
	for now := start.Add(-40 * time.Second); now < start; now = now.Add(8 * time.Second) {
		for _, h := range f.hosts {
			h.Refresh(h.list(now), now)
			h.ObserveHub(h.isHub(now), now)
		}
	}
	for now := start; now < start.Add(lasts); now = now.Add(f.step) {
		for _, i := range f.draw.Perm(len(f.hosts)) {
			f.play(f.hosts[i], now)
		}
	}
}

func (f *simFleet) play(h *simHost, now bootclock.Instant) {
	at := now.Add(f.within(f.step))
	if time.Duration(now)%(400*time.Millisecond) == 0 {
		h.Refresh(h.list(at), at)
		h.ObserveHub(h.isHub(at), at)
	}
	if time.Duration(now)%(200*time.Millisecond) == 0 {
		if lender, args, ok := h.Wanted(at); ok && f.byName[lender] != nil && f.draw.Float64() >= f.loses {
			reply := f.byName[lender].Lend(args, at)
			if f.draw.Float64() >= f.loses {
				heap.Push(&h.replies, loanReply{lender, args, reply, at, at.Add(f.within(300 * time.Millisecond))})
			}
		}
	}
	for len(h.replies) > 0 && h.replies[0].arrivesAt <= at {
		r := heap.Pop(&h.replies).(loanReply)
		h.Borrow(r.lender, r.args, r.reply, r.askedAt, at)
	}
	if now < h.learnsAt {
		return
	}
	h.ObserveEntry(incarnation, "s", 1, time.Minute, at)
	for h.wants(at) && h.Available(incarnation, at) && h.Take(incarnation, false, at) {
		f.sent = append(f.sent, at)
	}
	for h.TakeHubPermit(incarnation, at) { // for hosts that all have runs
		delay := f.within(HubPermitFor)
		if f.draw.Float64() < f.late {
			delay = HubPermitFor
		}
		f.sent = append(f.sent, at.Add(delay))
	}
}

// mostInOneSecond returns the most sends in a window of one second.
func (f *simFleet) mostInOneSecond() int {
	sent := f.sent
	most, first := 0, 0
	slices.Sort(sent)
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// The failure guarded against: a target that has just started crashes because the shares of hosts
// that know different things add up to more than it bears.
func TestAllHostsTogetherStayWithinTheBoundOfEachSecond(t *testing.T) {
	for n, checks := range map[int]int{6: 3000, 80: 200, 300: 30} { // a second or two each
		runParts(t, fmt.Sprint(n), checks, func(t *rapid.T) {
			rate := float64(rapid.IntRange(1, 120).Draw(t, "rate"))
			bound := node.ColdBound{Factor: float64(rapid.IntRange(10, 20).Draw(t, "factor tenths")) / 10, Slack: float64(rapid.IntRange(0, 10).Draw(t, "slack"))}
			f := newSimFleet(n, rate, bound, rapid.Uint64().Draw(t, "seed"))
			f.loses = 0.2
			drawLists(t, f)
			idle := rapid.IntRange(0, 9).Draw(t, "idle hosts in 10")
			for _, h := range f.hosts {
				h.learnsAt = start.Add(f.within(3 * time.Second))
				if f.draw.IntN(10) < idle {
					begin, end := start.Add(f.within(6*time.Second)), start.Add(f.within(6*time.Second))
					h.wants = func(now bootclock.Instant) bool { return begin < now && now < end }
				}
			}
			f.run(4 * time.Second)
			require.LessOrEqual(t, float64(f.mostInOneSecond()), bound.Factor*rate+bound.Slack)
		})
	}
}

// setChecks sets the number of draws of the property tests that follow until restore is called, unless
// the command line states one.
func setChecks(t *testing.T, checks int) (restore func()) {
	const name = "rapid.checks"
	given := flag.Lookup(name)
	if given.Value.String() != given.DefValue {
		return func() {}
	}
	require.NoError(t, flag.Set(name, strconv.Itoa(checks)))
	return func() { require.NoError(t, flag.Set(name, given.DefValue)) }
}

// parts is in how many parts a property test runs: with the race detector, one draw after the other takes
// minutes.
const parts = 4

// runParts runs a property test with a number of draws, which are divided among parts that run beside each
// other.
func runParts(t *testing.T, name string, checks int, property func(t *rapid.T)) {
	defer setChecks(t, (checks+parts-1)/parts)()
	t.Run(name, func(t *testing.T) { // ends once all parts have
		for part := range parts {
			t.Run(fmt.Sprint("part ", part), parallel(rapid.MakeCheck(property)))
		}
	})
}

// parallel returns a test that runs beside others.
func parallel(test func(*testing.T)) func(*testing.T) {
	return func(t *testing.T) {
		t.Parallel()
		test(t)
	}
}

// The failure guarded against: a cold target crashes because the hosts' shares and the permits of the hub,
// or of two hosts that both place runs, add up to more than it bears. The hub is cut off and another one
// takes its place, or two take themselves for it all the time.
func TestSharesAndHubPermitsStayWithinTheBoundOfEachSecond(t *testing.T) {
	for _, n := range []int{6, 80, 300} {
		runParts(t, fmt.Sprint(n), 100, func(t *rapid.T) {
			rate := float64(rapid.IntRange(1, 120).Draw(t, "rate"))
			bound := node.ColdBound{Factor: float64(rapid.IntRange(10, 20).Draw(t, "factor tenths")) / 10, Slack: float64(rapid.IntRange(0, 10).Draw(t, "slack"))}
			f := newSimFleet(n, rate, bound, rapid.Uint64().Draw(t, "seed"))
			f.loses, f.hub = 0.2, true
			f.late = float64(rapid.IntRange(0, 10).Draw(t, "late runs in 10")) / 10
			drawLists(t, f)
			for _, h := range f.hosts {
				h.learnsAt = start.Add(f.within(time.Second))
			}
			always := func(bootclock.Instant) bool { return true }
			old, next := f.hosts[0], f.hosts[n/2] // drawLists cuts the first ones off
			switch old.isHub = always; rapid.SampledFrom([]string{"one", "two", "new"}).Draw(t, "hubs") {
			case "two":
				next.isHub = always
			case "new":
				at := start.Add(time.Duration(rapid.IntRange(-9000, 1000).Draw(t, "new hub at ms")) * time.Millisecond)
				next.isHub = func(now bootclock.Instant) bool { return now >= at }
			}
			f.run(4 * time.Second)
			require.LessOrEqual(t, float64(f.mostInOneSecond()), bound.Factor*rate+bound.Slack)
		})
	}
}

// The failure guarded against: most hosts hold no share of an engine that is cold for a second, and no loan
// arrives before it is warm, so that their runs go to engines that are fuller. 70 hosts place 2 runs a
// second that would best go to it.
func TestMostRunsMayGoToAnEngineInItsFirstSecond(t *testing.T) {
	mayGo := func(hub bool) float64 {
		const runs, starts = 2, 300
		went := 0
		for seed := range uint64(starts) {
			f := newSimFleet(70, 31, node.ColdBound{Factor: 1.5, Slack: 5}, seed)
			f.hub = hub
			for _, h := range f.hosts {
				h.wants = func(bootclock.Instant) bool { return false }
			}
			f.hosts[0].isHub = func(bootclock.Instant) bool { return hub }
			f.run(0)
			for _, h := range f.hosts {
				h.ObserveEntry(incarnation, "s", 1, time.Second, start)
			}
			for _, at := range []time.Duration{f.within(time.Second / runs), time.Second/runs + f.within(time.Second/runs)} {
				host := f.hosts[f.draw.IntN(len(f.hosts))]
				if host.Take(incarnation, false, start.Add(at)) || f.hosts[0].TakeHubPermit(incarnation, start.Add(at)) {
					went++
				}
			}
		}
		return float64(went) / (runs * starts)
	}
	with, without := mayGo(true), mayGo(false)
	t.Logf("of the runs in the first second, %.2f may go there with a hub, %.2f without", with, without)
	require.Greater(t, with, 0.95)
	require.Less(t, without, 0.3)
}

// drawLists makes the hosts know different numbers of hosts: some are cut off and have lost their
// entries, some have just joined, and some don't know any list.
func drawLists(t *rapid.T, f *simFleet) {
	n := len(f.hosts)
	cutOff := rapid.IntRange(0, n/4).Draw(t, "cut off")
	joined := rapid.IntRange(0, n/4).Draw(t, "joined")
	ignorant := rapid.IntRange(0, n/4).Draw(t, "without a list")
	var all, established []string
	for i, h := range f.hosts {
		all = append(all, h.name)
		if i < n-joined {
			established = append(established, h.name)
		}
	}
	for i, h := range f.hosts {
		switch {
		case i < cutOff: // it keeps its last list
			h.list = func(bootclock.Instant) []string { return established }
		case i < cutOff+ignorant:
			h.list = func(bootclock.Instant) []string { return nil }
		case i >= n-joined:
			h.list = from(start.Add(f.within(3*time.Second)), nil, all)
		default:
			lost := start.Add(-f.within(20 * time.Second)) // the entries of those that are cut off
			joins := from(start.Add(f.within(7*time.Second)), established, all)
			h.list = func(now bootclock.Instant) []string {
				if now < lost {
					return joins(now)
				}
				return joins(now)[cutOff:]
			}
		}
	}
}

// within returns a random time.
func (f *simFleet) within(d time.Duration) time.Duration {
	return time.Duration(f.draw.Int64N(int64(d)))
}

// from returns a list of hosts that changes at an instant.
func from(at bootclock.Instant, before, after []string) func(now bootclock.Instant) []string {
	return func(now bootclock.Instant) []string {
		if now < at {
			return before
		}
		return after
	}
}

// Shares that no host uses are lost to callers who wait. The shares that the log shows are those of
// docs/design/025-cold-targets.md.
func TestMostOfTheRateIsUsed(t *testing.T) {
	for _, n := range []int{6, 80, 300} {
		for _, rate := range []float64{4, 31, 100} {
			for _, busy := range []int{1, 5, -1, -5} { // one in busy hosts has requests; below 0 with a hub
				t.Run(fmt.Sprintf("%d hosts, %g a second, busy %d", n, rate, busy), parallel(func(t *testing.T) {
					requireRateIsUsed(t, n, rate, max(busy, -busy), busy < 0)
				}))
			}
		}
	}
}

// requireRateIsUsed plays n hosts of which one in busy has requests.
func requireRateIsUsed(t *testing.T, n int, rate float64, busy int, hub bool) {
	bound := node.ColdBound{Factor: 1.5, Slack: 5}
	f := newSimFleet(n, rate, bound, 7)
	f.hub = hub
	f.hosts[0].isHub = func(bootclock.Instant) bool { return hub }
	for i, h := range f.hosts {
		h.wants = func(bootclock.Instant) bool { return i%busy == 0 }
	}
	f.run(10 * time.Second)
	used := float64(len(f.sent)) / 10 / rate
	t.Logf("%d hosts, %g requests per second, 1 in %d hosts busy, hub %t: %.2f of the rate used, at most %d in one second", n, rate, busy, hub, used, f.mostInOneSecond())
	require.LessOrEqual(t, float64(f.mostInOneSecond()), bound.Factor*rate+bound.Slack)
	if busy == 1 {
		require.Greater(t, used, 0.85)
	} else {
		require.Greater(t, used, 0.75)
	}
}

package waitlist

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

// The simulation plays deployment R of docs/HARD-LOAD.md in virtual time: hosts whose queues ask
// a hub, and engines that prefill in order of arrival and whose runs hold memory until they end.
const (
	ms        = time.Millisecond
	tick      = 5 * ms
	simHosts  = 77
	nEngines  = 44
	tokenStep = 16 * ms
	maxReport = 385 * ms // until the hub learns of a first event or an end
)

var simPolicy = &policy.Engine{Slots: 24, MemoryTokens: 26800}

type simKind struct {
	urgency            int
	perSecond          float64
	objective, timeout time.Duration
	late               float64 // share of the credit after the objective
}

var simKinds = []simKind{{0, 35, 1500 * ms, 6 * time.Second, 3. / 51}, {2, 18, 4 * time.Second, 39 * time.Second, 0.23}}

// call is a request with its attempts.
type call struct {
	kind                          *simKind
	id, account                   int
	prompt, output, expected      int
	first, arrived, latest        bootclock.Instant // first and current attempt
	attempt, rejections           int
	repeats, failed               bool // repeats: comes back at once and often
	rejectedAfter                 time.Duration
	class                         Class
	unread                        int
	produced                      float64
	eventAt, eventKnown, endKnown bootclock.Instant // first event; when the hub learns of it and of the end
}

func (c *call) held() int { return c.prompt + int(c.produced) }

// share returns which share of its credit the call has earned.
func (c *call) share() float64 {
	switch {
	case c.eventAt == 0 || c.failed:
		return 0
	case c.eventAt.Sub(c.first) <= c.kind.objective:
		return 1
	}
	return c.kind.late
}

type sim struct {
	rand      *rand.Rand
	prefill   float64 // tokens a second
	lists     []*List // of the deciders; none for the queues of hosts without an order
	now       bootclock.Instant
	engines   [nEngines][]*call
	names     [nEngines]*targets.Target
	queues    [simHosts][]*call
	asked     [simHosts]bootclock.Instant
	returning []*call
	calls     []*call
}

func newSim(seed uint64, prefill float64, deciders int) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), prefill: prefill, now: bootclock.Instant(time.Hour), lists: make([]*List, deciders)}
	s.replaceHubs()
	for i := range s.names {
		s.names[i] = &targets.Target{ID: strconv.Itoa(i)}
	}
	return s
}

func (s *sim) replaceHubs() {
	for i := range s.lists {
		s.lists[i] = New()
	}
}

// run plays a time at a multiple of the usual load.
func (s *sim) run(factor float64, length time.Duration) {
	for end := s.now.Add(length); s.now < end; s.now = s.now.Add(tick) {
		for k := range simKinds {
			for n := simKinds[k].perSecond * factor * tick.Seconds(); s.rand.Float64() < n; n-- {
				s.arrive(s.newCall(&simKinds[k]))
			}
		}
		var due []*call
		s.returning = slices.DeleteFunc(s.returning, func(c *call) bool {
			if c.arrived <= s.now {
				due = append(due, c)
			}
			return c.arrived <= s.now
		})
		for _, c := range due {
			s.arrive(c)
		}
		for h := range s.queues {
			s.serveQueue(h)
		}
		for i := range s.engines {
			s.step(i)
		}
	}
}

// newCall draws a request. Three of 24 accounts make nearly half of the requests.
func (s *sim) newCall(k *simKind) *call {
	c := &call{kind: k, id: len(s.calls), first: s.now, account: 3 + s.rand.IntN(21), repeats: s.rand.Float64() < 0.04}
	if s.rand.Float64() < 0.45 {
		c.account = s.rand.IntN(3)
	}
	c.prompt, c.output, c.expected = min(6000, int(2550*math.Exp(0.6*s.rand.NormFloat64()-0.18))), 9, 9
	if k.urgency > 0 {
		c.prompt, c.output, c.expected = 3079, min(1800, int(750*math.Exp(0.4*s.rand.NormFloat64()-0.08))), 750
	}
	s.calls = append(s.calls, c)
	return c
}

func (s *sim) timeLeft(c *call) time.Duration { return c.kind.timeout - s.now.Sub(c.first) }

func (s *sim) arrive(c *call) {
	c.attempt++
	c.arrived, c.class = s.now, 0
	c.latest = s.now.Add(min(max(c.kind.objective-placement.PrefillTime(c.prompt), c.kind.objective/2), s.timeLeft(c)/2))
	h := s.rand.IntN(simHosts)
	if len(s.lists) > 0 && s.ask(c, h) {
		return
	}
	s.queues[h] = append(s.queues[h], c)
	slices.SortStableFunc(s.queues[h], func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.kind.urgency, b.kind.urgency), cmp.Compare(a.class, b.class), cmp.Compare(a.arrived, b.arrived))
	})
}

// serveQueue lets the first run of a host ask, and rejects those that wait too long.
func (s *sim) serveQueue(h int) {
	for len(s.queues[h]) > 0 && s.now.Sub(s.asked[h]) >= 100*ms {
		s.asked[h] = s.now
		if !s.ask(s.queues[h][0], h) {
			break
		}
		s.queues[h] = s.queues[h][1:]
		s.asked[h] = 0 // the next one asks at once
	}
	s.queues[h] = slices.DeleteFunc(s.queues[h], func(c *call) bool {
		if s.now >= c.latest {
			s.reject(c, min(4*time.Second+time.Duration(s.rand.Float64()*4e9), s.timeLeft(c)/4))
		}
		return s.now >= c.latest
	})
}

// ask reports whether the run was placed or rejected.
func (s *sim) ask(c *call, h int) bool {
	engines, a := s.loads(), s.describe(c)
	i, verdict := -1, Verdict{}
	if len(s.lists) == 0 {
		i = placement.ChooseEngine(engines, simPolicy, a.requirements(), nil)
	} else {
		r := &Request{Ask: a, Need: a.requirements(), Engine: simPolicy, Engines: engines}
		for _, o := range s.queues[h][:min(len(s.queues[h]), 9)] {
			if o != c {
				r.Others = append(r.Others, s.describe(o))
			}
		}
		i, verdict = s.lists[h%len(s.lists)].Decide(s.now, r)
		c.class = verdict.Class
	}
	if i >= 0 {
		c.unread = c.prompt
		s.engines[i] = append(s.engines[i], c)
	} else if verdict.Rejected {
		s.reject(c, verdict.RetryAfter)
	}
	return i >= 0 || verdict.Rejected
}

func (s *sim) describe(c *call) Ask {
	return Ask{ID: fmt.Sprint(c.id, "/", c.attempt), Urgency: c.kind.urgency, Account: strconv.Itoa(c.account), Fingerprint: strconv.Itoa(c.id), Tokens: c.prompt + c.expected,
		Output: c.expected, Unread: c.prompt, Objective: c.kind.objective, Age: s.now.Sub(c.arrived), UsefulFor: c.latest.Sub(s.now), TimeLeft: s.timeLeft(c)}
}

func (s *sim) reject(c *call, after time.Duration) {
	if c.rejections++; c.rejections == 1 {
		c.rejectedAfter = s.now.Sub(c.first)
	}
	switch {
	case c.repeats && c.attempt < 20 && s.timeLeft(c) > time.Second:
		after = 50 * ms
	case c.repeats || c.attempt > 1 || after > s.timeLeft(c)/3:
		c.failed = true
		return
	}
	c.arrived = s.now.Add(after)
	s.returning = append(s.returning, c)
}

// loads returns what the hub knows.
func (s *sim) loads() []placement.Candidate {
	out := make([]placement.Candidate, nEngines)
	for i, runs := range s.engines {
		l := inflight.Load{Runs: len(runs)}
		for _, c := range runs {
			l.Tokens += c.prompt + max(c.expected, int(c.produced)+1)
			l.Held += c.held()
			if c.eventKnown == 0 || c.eventKnown > s.now {
				l.Unread += c.prompt
			}
		}
		out[i] = placement.Candidate{Target: s.names[i], Load: l, FailureCost: 1}
	}
	return out
}

// step lets an engine work for a tick. Without memory it preempts its newest run.
func (s *sim) step(i int) {
	budget, held := s.prefill*tick.Seconds(), 0
	known := func() bootclock.Instant { return s.now.Add(time.Duration(s.rand.Float64() * float64(maxReport))) }
	s.engines[i] = slices.DeleteFunc(s.engines[i], func(c *call) bool { return c.endKnown != 0 && c.endKnown <= s.now })
	for _, c := range s.engines[i] {
		if c.endKnown != 0 {
			continue
		}
		read := min(float64(c.unread), budget)
		c.unread -= int(read)
		budget -= read
		held += c.held()
		if c.unread > 0 || held > simPolicy.MemoryTokens {
			if c.produced > 0 && c.unread == 0 {
				c.unread = c.held()
			}
			continue
		}
		if c.eventAt == 0 {
			c.eventAt, c.eventKnown = s.now, known()
		}
		if c.produced += tick.Seconds() / tokenStep.Seconds(); c.produced >= float64(c.output) {
			c.endKnown, c.failed = known(), s.timeLeft(c) < 0
		}
	}
}

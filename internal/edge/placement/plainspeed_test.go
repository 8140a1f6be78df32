package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
)

// unevenCall is a plain call in flight. before is how many others its host knew of when it sent it.
type unevenCall struct {
	host, target, before int
	sent, ends           time.Duration // ends is 0 while it waits for a slot
	work                 float64       // seconds
}

// average is a host's average latency of a target, as ejection.Tracker keeps it.
type average struct {
	value float64
	at    time.Duration
}

// plainHost is what a host knows: its average latencies and calls, and, as of its last sync, the calls
// of all others and the factors.
type plainHost struct {
	averages [4]average
	own      [4]int
	others   [4]int
	factors  [4]float64
	samples  [4]targetspeed.Sums
}

// plainFleet simulates 4 targets with 6 slots, one in each failure domain, and 77 hosts that call them.
type plainFleet struct {
	random    *rand.Rand
	learn     bool
	estimator *targetspeed.Estimator
	service   []targetspeed.Service
	hosts     [speedHosts]plainHost
	phase     [4]slowPhases
	queues    [4][]*unevenCall
	total     int
	inTime    int
}

const plainObjective = 150 * time.Millisecond

// serve ends the calls of a target that are done and begins the next ones.
func (f *plainFleet) serve(i int, now time.Duration) {
	factor := f.phase[i].at(now, f.random)
	f.queues[i] = slices.DeleteFunc(f.queues[i], func(c *unevenCall) bool {
		if c.ends == 0 || c.ends > now {
			return false
		}
		h, took := &f.hosts[c.host], now-c.sent
		h.own[i]--
		f.total++
		f.inTime += count(took <= plainObjective)
		if a := &h.averages[i]; a.at == 0 {
			*a = average{value: took.Seconds(), at: now}
		} else {
			*a = average{value: a.value + 0.1*(took.Seconds()-a.value), at: now}
		}
		h.samples[i] = h.samples[i].Plus(targetspeed.CallSums(c.before, 6, took))
		return true
	})
	for j, c := range f.queues[i] {
		if j < 6 && c.ends == 0 {
			c.ends = now + time.Duration(factor*c.work*float64(time.Second))
		}
	}
}

// sync sends a host's samples to the hub and brings what the host knows up to date.
func (f *plainFleet) sync(h *plainHost, now time.Duration) {
	for i, target := range f.service[0].Targets {
		if h.samples[i] != (targetspeed.Sums{}) {
			f.estimator.Add(targetspeed.IDOf(target), h.samples[i], bootclock.Instant(now))
			h.samples[i] = targetspeed.Sums{}
		}
	}
	f.estimator.Update(f.service, bootclock.Instant(now))
	for i, target := range f.service[0].Targets {
		h.factors[i] = f.estimator.Factor(targetspeed.IDOf(target))
		if now/speedSync%4 == 0 {
			h.others[i] = len(f.queues[i]) - h.own[i]
		}
	}
}

// call sends a call of a host.
func (f *plainFleet) call(n int, now time.Duration) {
	h, domain := &f.hosts[n], string(rune('a'+n%4))
	candidates := make([]Candidate, 4)
	for i := range candidates {
		age := now - h.averages[i].at
		candidates[i] = Candidate{Target: &targets.Target{ID: string(rune('0' + i)), Domain: string(rune('a' + i)), Slots: 6}, FailureCost: 1,
			Load: inflight.Load{Runs: h.own[i] + h.others[i]}, Latency: h.averages[i].value * math.Exp2(-age.Seconds()/2)}
		if f.learn {
			candidates[i].Slowness = h.factors[i]
		}
	}
	i := ChoosePlainTarget(candidates, domain, nil)
	if DifferInSpeed(candidates) {
		i = ChoosePlainTargetBySpeed(candidates, domain, nil, [2]float64{f.random.Float64(), f.random.Float64()})
	}
	work := 0.030 * math.Exp(0.4*f.random.NormFloat64()-0.08)
	f.queues[i] = append(f.queues[i], &unevenCall{host: n, target: i, before: h.own[i] + h.others[i], sent: now, work: work})
	h.own[i]++
}

// simulatePlainCalls returns the share of calls that are answered too late.
func simulatePlainCalls(learn bool, times [4]float64, perSecond float64, length time.Duration, seed uint64) float64 {
	const tick = time.Millisecond
	f := &plainFleet{random: rand.New(rand.NewPCG(seed, 12)), learn: learn, estimator: targetspeed.NewEstimator(targetspeed.SharedBand),
		service: []targetspeed.Service{{Name: "p", Targets: []string{"0@0", "1@0", "2@0", "3@0"}}}}
	for i := range f.phase {
		f.phase[i] = slowPhases{base: times[i], factor: times[i], until: time.Duration(f.random.Float64() * float64(28*time.Second))}
	}
	for now := time.Duration(0); now < length; now += tick {
		for i := range f.queues {
			f.serve(i, now)
		}
		for n := range f.hosts {
			if now%speedSync == speedSync*time.Duration(n)/speedHosts/tick*tick {
				f.sync(&f.hosts[n], now)
			}
		}
		for domain := range 4 {
			rate := perSecond / 4 * (1 + 0.5*math.Sin(2*math.Pi*(now.Seconds()/20+float64(domain)/4)))
			for range poisson(f.random, rate*tick.Seconds()) {
				f.call(domain+4*f.random.IntN(speedHosts/4), now)
			}
		}
	}
	return 1 - float64(f.inTime)/float64(f.total)
}

// A host that sends a target less than one call a second can't tell alone that the target is slow. At
// most 0.7 times as many calls as without learned speed may be late.
func TestPlainCallsAreAnsweredInTimeByTargetsThatDifferInSpeed(t *testing.T) {
	const maxRatio = 0.7
	for name, times := range map[string][4]float64{"times": {0.7, 0.7, 1.7, 0.7}, "speeds": {1 / 0.7, 1 / 0.7, 1 / 1.7, 1 / 0.7}, "phases only": {1, 1, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			without := simulatePlainCalls(false, times, 124, 240*time.Second, 11)
			with := simulatePlainCalls(true, times, 124, 240*time.Second, 11)
			t.Logf("late without learned speed %.4f, with %.4f", without, with)
			require.Less(t, with, maxRatio*without)
		})
	}
}

package targetspeed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/edge/bootclock"
)

const tick = 100 * time.Millisecond

// fleet is an estimator of six engines with two runs each, fed by the tick.
type fleet struct {
	*Estimator
	services []Service
	now      bootclock.Instant
	times    [6]float64 // slowness of each
	idle     [6]bool
	changes  []Change
}

func newFleet() *fleet {
	f := &fleet{Estimator: NewEstimator(SharedBand), services: []Service{{Name: "s"}}, now: bootclock.Instant(time.Hour)}
	for i := range f.times {
		f.times[i] = 1
		f.services[0].Targets = append(f.services[0].Targets, fmt.Sprint(i))
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tick) {
		for i, factor := range f.times {
			if !f.idle[i] {
				s := DecodeSums(2, tick, 1)
				s.DecodeWork = tick.Seconds() / factor
				f.Add(IDOf(f.services[0].Targets[i]), s.Plus(s), f.now)
			}
		}
		f.changes = append(f.changes, f.Update(f.services, f.now)...)
	}
}

func (f *fleet) factor(i int) float64 { return f.Factor(IDOf(f.services[0].Targets[i])) }

// A target that becomes slow must have its factor within 2 s, lose it within 2 s of its recovery, and
// change between slow and typical once each way.
func TestFactorFollowsATargetThatSlowsDownAndRecovers(t *testing.T) {
	f := newFleet()
	f.run(5 * time.Second)
	require.Empty(t, f.changes)
	f.times[2] = 2.5
	f.run(2 * time.Second)
	require.InDelta(t, 2.5, f.factor(2), 0.5) // few samples count a little less, and small changes are left out
	f.run(3 * time.Second)
	require.InDelta(t, 2.5, f.factor(2), 0.5)
	f.times[2] = 1
	f.run(2 * time.Second)
	require.Equal(t, 1.0, f.factor(2))
	require.Len(t, f.changes, 2)
}

func TestServiceThatSlowsDownAsAWholeChangesNoFactor(t *testing.T) {
	f := newFleet()
	f.run(5 * time.Second)
	f.times = [6]float64{3, 3, 3, 3, 3, 3}
	f.run(10 * time.Second)
	require.Empty(t, f.changes)
}

// A slow target that gets no runs must be tried again, and a new one must start at 1.
func TestFactorOfAnIdleTargetDecays(t *testing.T) {
	f := newFleet()
	f.times[0], f.idle[5] = 2.5, true
	f.run(5 * time.Second)
	f.idle[0] = true
	f.run(2 * time.Second)
	require.Greater(t, f.factor(0), 1.5, "it is not forgotten at once")
	f.run(10 * time.Second)
	require.Equal(t, 1.0, f.factor(0))
	require.Equal(t, 1.0, f.factor(5), "it never had samples")
	f.run(recordLifetime)
	require.NotContains(t, f.records, IDOf("0"), "the memory is bounded")
}

// feedback is a plain service whose targets get calls in proportion to their speeds as estimated some
// ticks ago.
type feedback struct {
	*Estimator
	services []Service
	times    []float64   // of a call, in seconds
	queued   []float64   // calls that wait
	history  [][]float64 // factors by tick
	rate     float64
	delay    int
}

const feedbackSlots = 6

func (f *feedback) step(now bootclock.Instant) {
	sum, weights := 0.0, make([]float64, len(f.times))
	for i := range weights {
		weights[i] = 1
		if len(f.history) > f.delay {
			weights[i] = 1 / f.history[len(f.history)-f.delay][i]
		}
		sum += weights[i]
	}
	for i, target := range f.services[0].Targets {
		arriving := f.rate * weights[i] / sum
		served := min(f.queued[i]/tick.Seconds()+arriving, feedbackSlots/f.times[i])
		f.queued[i] = min(f.queued[i]+(arriving-served)*tick.Seconds(), 30) // a target rejects more
		latency := f.times[i] * (1 + f.queued[i]/feedbackSlots)
		c := CallSums(int(served*f.times[i]+f.queued[i]), feedbackSlots, time.Duration(latency*float64(time.Second)))
		calls := served * tick.Seconds()
		f.Add(IDOf(target), Sums{Calls: calls, LogLatency: calls * c.LogLatency, LogSquares: calls * c.LogSquares}, now)
	}
	f.Update(f.services, now)
	factors := make([]float64, len(f.times))
	for i, target := range f.services[0].Targets {
		factors[i] = f.Factor(IDOf(target))
	}
	f.history = append(f.history, factors)
}

// reversals counts how often the factor of a target changed its direction since a tick.
func (f *feedback) reversals(target, since int) (n int) {
	direction := 0.0
	for step := since; step < len(f.history); step++ {
		change := f.history[step][target] - f.history[step-1][target]
		if change*direction < 0 {
			n++
		}
		if change != 0 {
			direction = change
		}
	}
	return n
}

// requireSettled fails if a factor goes on changing its direction after 40 s.
func (f *feedback) requireSettled(t require.TestingT, load float64) {
	capacity := 0.0
	for _, seconds := range f.times {
		capacity += feedbackSlots / seconds
	}
	f.rate = capacity * load
	for step := range 900 {
		f.step(bootclock.Instant(time.Hour).Add(time.Duration(step) * tick))
	}
	for i := range f.times {
		require.LessOrEqual(t, f.reversals(i, 400), 2, "factors at the end: %v", f.history[len(f.history)-10:])
	}
}

func newFeedback(n, delay int) *feedback {
	f := &feedback{Estimator: NewEstimator(SharedBand), services: []Service{{Name: "p"}}, queued: make([]float64, n), delay: delay}
	for i := range n {
		f.services[0].Targets = append(f.services[0].Targets, fmt.Sprint(i))
	}
	return f
}

// Choices by the estimate change the load and with it the latencies. The factors must settle all the
// same, whatever the speeds and the load, with factors that are known late.
func TestFactorsSettleUnderTheLoadThatFollowsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "targets")
		f := newFeedback(n, rapid.IntRange(1, 15).Draw(t, "delay in ticks"))
		for range n {
			f.times = append(f.times, 0.03*rapid.Float64Range(0.5, 4).Draw(t, "time"))
		}
		f.requireSettled(t, rapid.Float64Range(0.1, 0.85).Draw(t, "load"))
	})
}

// The estimate of the fastest target stayed at 0.25, and its factor went from 0.2 to 0.3 and back for good.
func TestFactorBetweenTwoTenthsSettles(t *testing.T) {
	f := newFeedback(6, 1)
	for _, relative := range []float64{1, 1.71875, 2.75, 2.75, 2.75, 0.53125} {
		f.times = append(f.times, 0.03*relative)
	}
	f.requireSettled(t, 0.85)
}

// Estimates that move by less than minChange changed factors of 0.2 and 0.3 to and fro.
func TestEstimateMustMoveByMinChangeToTakeAFactorBack(t *testing.T) {
	const step = 1.0005
	for estimate := minFactor / 2; estimate < 2*maxFactor; estimate *= step {
		for tenths := 1; tenths <= 10*maxFactor; tenths++ {
			inForce := max(minFactor, float64(tenths)/10)
			next := SharedBand.next(inForce, estimate)
			if next == inForce {
				continue
			}
			for _, back := range []float64{estimate * minChange / step, estimate / minChange * step} {
				between := math.Sqrt(back * estimate)
				require.NotEqual(t, inForce, SharedBand.next(next, between), "from %.1f at %.4f to %.1f, taken back at %.4f", inForce, estimate, next, between)
			}
		}
	}
}

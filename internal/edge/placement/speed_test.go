package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
)

const (
	speedHosts = 77
	speedSync  = 385 * time.Millisecond // of 77 hosts
)

// slowPhases multiplies the time of a target by 2.5 for 15% of the time, for some seconds each.
type slowPhases struct {
	base, factor float64
	until        time.Duration
}

func (p *slowPhases) at(now time.Duration, random *rand.Rand) float64 {
	if now >= p.until {
		slow := p.factor <= p.base && p.until > 0
		p.factor = p.base
		mean := 28 * time.Second
		if slow {
			p.factor, mean = 2.5*p.base, 5*time.Second
		}
		p.until = now + time.Duration((0.4+1.2*random.Float64())*float64(mean))
	}
	return p.factor
}

// unevenRun is a run at an uneven engine. reported is its load as the hub knows it.
type unevenRun struct {
	host, engine, prompt, expected, output int
	affinity                               string
	objective                              time.Duration
	arrived, sent, last                    time.Duration // last is when its last event arrived
	toRead, made, ahead                    int
	ended, late, paused                    bool
	reported                               inflight.Load
}

func (r *unevenRun) load() inflight.Load {
	if r.ended {
		return inflight.Load{}
	}
	l := inflight.Load{Runs: 1, Tokens: r.prompt + max(r.expected, r.made), Held: r.prompt + r.made}
	if r.made < 4 {
		l.Unread = r.prompt
	}
	return l
}

// unevenEngine works in steps whose time its slowness multiplies. known are the runs that the hub
// has not been told to have ended.
type unevenEngine struct {
	slowPhases
	runs, known []*unevenRun
	stepEnd     time.Duration
	reading     *unevenRun
}

// unevenFleet simulates engines of different speeds, hosts that sync with a hub, and the hub that
// places all runs.
type unevenFleet struct {
	engines       []unevenEngine
	estimator     *targetspeed.Estimator
	services      []targetspeed.Service
	random        *rand.Rand
	samples       [speedHosts]map[int]targetspeed.Sums
	waiting, runs []*unevenRun
	now           time.Duration
}

var unevenSpec = &policy.Engine{Slots: 24, MemoryTokens: 26800, TokensPerEvent: 4}

func newUnevenFleet(engines int, speeds []float64, phases bool, learn bool, seed uint64) *unevenFleet {
	f := &unevenFleet{engines: make([]unevenEngine, engines), random: rand.New(rand.NewPCG(seed, 7)), services: []targetspeed.Service{{Name: "s"}}}
	if learn {
		f.estimator = targetspeed.NewEstimator(targetspeed.SharedBand)
	}
	for i := range f.engines {
		f.engines[i].slowPhases = slowPhases{base: speeds[i%len(speeds)], factor: speeds[i%len(speeds)], until: math.MaxInt64}
		if phases {
			f.engines[i].until = time.Duration(f.random.Float64() * float64(28*time.Second))
		}
		f.services[0].Targets = append(f.services[0].Targets, fmt.Sprint(i)+"@0")
	}
	for h := range f.samples {
		f.samples[h] = make(map[int]targetspeed.Sums)
	}
	return f
}

func (f *unevenFleet) observe(r *unevenRun, s targetspeed.Sums) {
	f.samples[r.host][r.engine] = f.samples[r.host][r.engine].Plus(s)
}

// event notes that the first or a later event of a run arrived.
func (f *unevenFleet) event(r *unevenRun, now time.Duration) {
	if r.made <= 4 {
		r.late = now-r.arrived > r.objective
		f.observe(r, targetspeed.FirstSums(len(f.engines[r.engine].runs), r.prompt, r.prompt+r.ahead, now-r.sent))
	} else {
		r.paused = r.paused || now-r.last > 180*time.Millisecond
		f.observe(r, targetspeed.DecodeSums(len(f.engines[r.engine].runs), now-r.last, 4))
	}
	r.last = now
}

// step ends the engine's step, if its time has come, and begins the next.
func (f *unevenFleet) step(e *unevenEngine, now time.Duration) {
	factor := e.at(now, f.random)
	if now < e.stepEnd {
		return
	}
	kept := e.runs[:0]
	for _, r := range e.runs {
		switch {
		case r == e.reading:
			r.toRead -= min(112, r.toRead)
		case r.toRead == 0 && r.made < r.output:
			r.made++
			if r.ended = r.made >= r.output; r.made%4 == 0 || r.made < 4 && r.ended {
				f.event(r, now)
			}
		}
		if !r.ended {
			kept = append(kept, r)
		}
	}
	e.runs, e.reading = kept, nil
	if len(e.runs) == 0 {
		return
	}
	step := 7 + 0.12*float64(len(e.runs))
	if i := slices.IndexFunc(e.runs, func(r *unevenRun) bool { return r.toRead > 0 }); i >= 0 {
		e.reading = e.runs[i]
		step += float64(min(112, e.reading.toRead)) / 14
	}
	e.stepEnd = max(e.stepEnd, now-time.Millisecond) + time.Duration(factor*step*float64(time.Millisecond))
}

// sync brings what the hub knows of a host up to date.
func (f *unevenFleet) sync(host int, now time.Duration) {
	for i := range f.engines {
		for _, r := range f.engines[i].known {
			if r.host == host {
				r.reported = r.load()
			}
		}
		f.engines[i].known = slices.DeleteFunc(f.engines[i].known, func(r *unevenRun) bool { return r.reported.Runs == 0 })
	}
	if f.estimator == nil {
		return
	}
	for i, s := range f.samples[host] {
		f.estimator.Add(targetspeed.IDOf(f.services[0].Targets[i]), s, bootclock.Instant(now))
	}
	clear(f.samples[host])
	f.estimator.Update(f.services, bootclock.Instant(now))
}

func (f *unevenFleet) slowness(i int) float64 {
	if f.estimator == nil {
		return 1
	}
	return f.estimator.Factor(targetspeed.IDOf(f.services[0].Targets[i]))
}

// place places a run if an engine has room.
func (f *unevenFleet) place(r *unevenRun, now time.Duration) bool {
	candidates := make([]Candidate, len(f.engines))
	for i := range f.engines {
		l := inflight.Load{}
		for _, k := range f.engines[i].known {
			l = l.Plus(k.reported)
		}
		candidates[i] = Candidate{Target: &targets.Target{ID: fmt.Sprint(i)}, Load: l, FailureCost: 1, Slowness: f.slowness(i)}
	}
	i := ChooseEngine(candidates, unevenSpec, Requirements{Tokens: r.prompt + r.expected, Output: r.expected, Unread: r.prompt, Objective: r.objective, GapObjective: 180 * time.Millisecond,
		Affinity: r.affinity, Shared: 350}, nil)
	if i < 0 {
		return false
	}
	r.engine, r.sent, r.toRead, r.ahead, r.reported = i, now, r.prompt, candidates[i].Load.Unread, r.load()
	e := &f.engines[i]
	if len(e.runs) == 0 {
		e.stepEnd = now
	}
	e.runs, e.known = append(e.runs, r), append(e.known, r)
	return true
}

func (f *unevenFleet) arrive(r *unevenRun, now time.Duration) {
	r.arrived, r.host, r.late, r.affinity = now, f.random.IntN(speedHosts), true, fmt.Sprint(f.random.IntN(60))
	f.runs, f.waiting = append(f.runs, r), append(f.waiting, r)
}

// run simulates so long with so many long and short runs a second, in waves.
func (f *unevenFleet) run(length time.Duration, long, short float64) {
	const tick = time.Millisecond
	for now := time.Duration(0); now < length; now += tick {
		wave := tick.Seconds() * (1 + 0.5*math.Sin(2*math.Pi*now.Seconds()/20))
		for range poisson(f.random, long*wave) {
			f.arrive(&unevenRun{prompt: 3079, expected: 744, output: 100 + int(f.random.ExpFloat64()*644), objective: 1800 * time.Millisecond}, now)
		}
		for range poisson(f.random, short*wave) {
			f.arrive(&unevenRun{prompt: 2550, expected: 9, output: 9, objective: 1500 * time.Millisecond}, now)
		}
		f.waiting = slices.DeleteFunc(f.waiting, func(r *unevenRun) bool {
			age := now - r.arrived
			return age > r.objective-PrefillTime(r.prompt) || age%(100*tick) == 0 && f.place(r, now)
		})
		for i := range f.engines {
			f.step(&f.engines[i], now)
		}
		for h := range speedHosts {
			if offset := speedSync * time.Duration(h) / speedHosts / tick * tick; now%speedSync == offset {
				f.sync(h, now)
			}
		}
		f.now = now
	}
}

// missed returns the shares of long and short runs that began late, and of long runs with a pause that
// is too long.
func (f *unevenFleet) missed() (long, short, paused float64) {
	var longs, shorts float64
	for _, r := range f.runs {
		switch {
		case f.now-r.arrived < 2*time.Second: // it may still begin in time
		case r.output > 9:
			longs++
			long += float64(count(r.late))
			paused += float64(count(r.paused))
		default:
			shorts++
			short += float64(count(r.late))
		}
	}
	return long / longs, short / shorts, paused / longs
}

// Engines that differ in speed, and become slower for some seconds, must get runs as they can bear
// them. At most 12 in 1,000 runs may begin late, and at most 0.6 times as many runs as without learned
// speed may begin late or pause for too long. The factors of the deployment may be times or speeds.
func TestRunsBeginInTimeAtEnginesThatDifferInSpeed(t *testing.T) {
	const seeds, maxLate, maxRatio = 3, 0.012, 0.6
	for name, times := range map[string][]float64{"times": {0.7, 0.7, 1.7}, "speeds": {1 / 0.7, 1 / 0.7, 1 / 1.7}} {
		t.Run(name, func(t *testing.T) {
			var missed [2][3]float64
			for i, learn := range []bool{false, true} {
				for seed := range uint64(seeds) {
					f := newUnevenFleet(45, times, true, learn, seed)
					f.run(90*time.Second, 22, 24.5)
					long, short, paused := f.missed()
					missed[i][0], missed[i][1], missed[i][2] = missed[i][0]+long/seeds, missed[i][1]+short/seeds, missed[i][2]+paused/seeds
				}
				t.Logf("learned speed %v: long runs late %.4f, short %.4f, long runs with long pauses %.4f", learn, missed[i][0], missed[i][1], missed[i][2])
			}
			require.Less(t, missed[1][0], maxLate)
			require.Less(t, missed[1][1], maxLate)
			for k := range missed[1] {
				require.Less(t, missed[1][k], maxRatio*missed[0][k])
			}
		})
	}
}

// Engines of the same speed must get the same runs with and without learned speed, on quiet days and
// when there are too many runs: noise of the estimates must not move any.
func TestEqualEnginesGetRunsAsWithoutLearnedSpeed(t *testing.T) {
	for _, load := range [][2]float64{{22, 24.5}, {40, 60}, {0, 60}} {
		var fleets [2]*unevenFleet
		for i, learn := range []bool{false, true} {
			fleets[i] = newUnevenFleet(45, []float64{1}, false, learn, 1)
			fleets[i].run(20*time.Second, load[0], load[1])
		}
		require.Len(t, fleets[1].runs, len(fleets[0].runs))
		for i, r := range fleets[0].runs {
			require.Equal(t, r.engine, fleets[1].runs[i].engine, "%v runs a second, run %d at %v", load, i, r.arrived)
		}
	}
}

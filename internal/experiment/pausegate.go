package experiment

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
)

// pauseSeed selects the random stream of the gateways' draws, apart from those of arrivals.
const pauseSeed = 1 << 40

// pauseGate is what a gateway remembers of the pauses that targets have asked it for.
type pauseGate struct {
	notices *targetnotice.Tracker
	random  *rand.Rand // places the ends of pauses
}

func newPauseGates(gateways int, seed uint64) []*pauseGate {
	gates := make([]*pauseGate, gateways)
	for i := range gates {
		gates[i] = &pauseGate{notices: targetnotice.New(), random: rand.New(rand.NewPCG(seed, pauseSeed+uint64(i)))}
	}
	return gates
}

// instant converts a virtual time for targetnotice.
func instant(t time.Time) bootclock.Instant { return bootclock.Instant(t.Sub(startTime)) }

// incarnation identifies the engine that runs at the target.
func (t *targetState) incarnation() string { return t.name + "@" + strconv.Itoa(t.starts) }

// observePause tells the gateway, one link delay from now, that a target wants a pause.
func (r *runner) observePause(gateway int, target *targetState, pause time.Duration) {
	incarnation := target.incarnation()
	r.timeline.scheduleAfter(r.linkDelay, func() {
		if r.gates != nil {
			gate := r.gates[gateway]
			gate.notices.ObservePause(incarnation, instant(r.timeline.now), pause, gate.random.Float64())
		}
	})
}

// refusesSend reports whether the call's gateway must not send it to the target now.
func (r *runner) refusesSend(c *call, target *targetState) bool {
	if r.gates == nil {
		return false
	}
	arrived := instant(startTime.Add(c.arrival.At + callerDelay))
	verdict, trial := r.gates[c.gateway].notices.Admit(target.incarnation(), targetnotice.Request, arrived, instant(r.timeline.now))
	c.trial = trial
	return verdict != targetnotice.Allowed
}

// endTrial tells the call's gateway, one link delay from now, that the target has answered
// the call or that the call is lost, if the call is a trial.
func (r *runner) endTrial(c *call, answered bool) {
	trial := c.trial
	c.trial = nil
	if trial != nil {
		r.timeline.scheduleAfter(r.linkDelay, func() { r.gates[c.gateway].notices.EndTrial(trial, answered) })
	}
}

// targetsWithTimeLeft returns the targets of which a gateway has a time left, such as that of
// a pause.
func (r *runner) targetsWithTimeLeft(gateway int, left func(t *targetnotice.Tracker, incarnation string, now bootclock.Instant) time.Duration) []string {
	if r.gates == nil {
		return nil
	}
	var names []string
	for _, target := range r.targets {
		if left(r.gates[gateway].notices, target.incarnation(), instant(r.timeline.now)) > 0 {
			names = append(names, target.name)
		}
	}
	return names
}

// paused returns the targets that the gateway must send no requests now.
func (r *runner) paused(gateway int) []string {
	return r.targetsWithTimeLeft(gateway, (*targetnotice.Tracker).PauseLeft)
}

// onTrial returns the targets that answer the gateway's first request after a pause.
func (r *runner) onTrial(gateway int) []string {
	return r.targetsWithTimeLeft(gateway, (*targetnotice.Tracker).TrialLeft)
}

// allPaused reports whether a target accepts requests, but none does from this gateway.
func (r *runner) allPaused(gateway int) bool {
	paused := r.paused(gateway)
	return len(paused) > 0 && !r.anyUsableExcept(paused)
}

// excludedTargets returns the targets that the policy must not choose for the call: those
// that want a pause, and unless no other is left also those on trial and those of earlier
// attempts.
func (r *runner) excludedTargets(c *call) []string {
	paused, onTrial := r.paused(c.gateway), r.onTrial(c.gateway)
	if len(paused)+len(onTrial) == 0 {
		return c.excluded
	}
	for _, all := range [][]string{slices.Concat(c.excluded, paused, onTrial), slices.Concat(paused, onTrial)} {
		if r.anyUsableExcept(all) {
			return all
		}
	}
	return paused
}

func (r *runner) anyUsableExcept(excluded []string) bool {
	return slices.ContainsFunc(r.targets, func(t *targetState) bool {
		return t.believedHealthy && !t.knownLeaving && !slices.Contains(excluded, t.name)
	})
}

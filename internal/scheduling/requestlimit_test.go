package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
)

const (
	playedFor     = 60 * time.Second
	limitedWindow = 4 * time.Second
	playStep      = 10 * time.Millisecond
)

// limitPlay sends requests, each with a second to its deadline, at a pool whose targets name limits.
type limitPlay struct {
	pool    *Pool
	targets []Target
	now     time.Time
	grants  map[string][]time.Time // by target
	tickets int
}

func newLimitPlay(limits ...float64) *limitPlay {
	play := &limitPlay{now: testStart, grants: make(map[string][]time.Time)}
	for i, l := range limits {
		target := healthyTargets(fmt.Sprint("e", i))[0]
		target.Limit = RequestLimit{Named: true, PerSecond: l}
		play.targets = append(play.targets, target)
	}
	play.pool = newTestPool(Config{}, play.targets...)
	return play
}

// send plays the time with so many requests a second, of which every tenth continues an answer.
func (l *limitPlay) send(t *testing.T, perSecond float64, duration time.Duration) {
	due := 0.0
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(playStep) {
		for due += perSecond * playStep.Seconds(); due >= 1; due-- {
			l.tickets++
			r := testRequest(fmt.Sprint("r", l.tickets))
			r.Fingerprint, r.Submitted, r.Deadline = uint64(l.tickets), l.now, l.now.Add(time.Second)
			if l.tickets%10 == 0 {
				r.Produced = 20
			}
			l.pool.Submit(l.now, r)
		}
		d := l.pool.Decide(l.now)
		for _, g := range d.Grants {
			l.grants[g.Target] = append(l.grants[g.Target], l.now)
			l.pool.Finish(l.now, Finished{Ticket: g.Ticket, Produced: 100, Complete: true})
		}
		for _, r := range d.Rejections {
			require.Positive(t, r.RetryAfter, r.Detail)
		}
	}
}

func (l *limitPlay) fullestWindow(target string) int {
	most, first := 0, 0
	for last, at := range l.grants[target] {
		for at.Sub(l.grants[target][first]) >= limitedWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestPoolKeepsToTheLimitsOfItsTargets(t *testing.T) {
	for _, limit := range []float64{0.3, 1, 4.5, 20} {
		for _, load := range []float64{0.5, 1.5, 3, 20} {
			t.Run(fmt.Sprintf("limit %v, load %v", limit, load), func(t *testing.T) {
				play := newLimitPlay(limit, limit)
				play.send(t, 2*limit*load, playedFor)
				used := 0
				for _, target := range play.targets {
					require.LessOrEqual(t, float64(play.fullestWindow(target.Name)), 1.5*limitedWindow.Seconds()*limit+5)
					used += len(play.grants[target.Name])
				}
				require.GreaterOrEqual(t, float64(used), 2*limit*playedFor.Seconds()*min(load, 0.8)*0.9-2, "served")
			})
		}
	}
}

func TestChangesOfALimitGrantNoBurst(t *testing.T) {
	play := newLimitPlay(10)
	for i := range 40 {
		play.targets[0].Limit.PerSecond = []float64{10, 2}[i%2]
		play.pool.SetTargets(play.now, play.targets)
		play.send(t, 50, 250*time.Millisecond)
	}
	require.LessOrEqual(t, float64(play.fullestWindow("e0")), 1.5*limitedWindow.Seconds()*6+5, "as the mean of both allows")
	play.targets[0].Limit = RequestLimit{}
	play.pool.SetTargets(play.now, play.targets)
	before := len(play.grants["e0"])
	play.send(t, 50, time.Second)
	require.Greater(t, len(play.grants["e0"])-before, 40, "the limit was lifted")
}

func TestTargetsWithoutLimitAreUsedInstead(t *testing.T) {
	play := newLimitPlay(1, 1)
	play.targets[1].Limit = RequestLimit{}
	play.pool.SetTargets(play.now, play.targets)
	play.send(t, 20, 10*time.Second)
	require.Greater(t, len(play.grants["e0"])+len(play.grants["e1"]), 190, "served")
	require.LessOrEqual(t, len(play.grants["e0"]), 12)
}

func TestRequestsThatNoLimitedTargetCanServeInTimeAreRejectedAtOnce(t *testing.T) {
	for name, limit := range map[string]float64{"limit of 0": 0, "a request in 10 s": 0.1} {
		t.Run(name, func(t *testing.T) {
			play := newLimitPlay(limit)
			r := testRequest("a")
			r.Deadline = testStart.Add(time.Second)
			play.pool.Submit(testStart, r)
			d := play.pool.Decide(testStart)
			require.Len(t, d.Rejections, 1)
			require.Equal(t, string(problem.KindOverloaded), d.Rejections[0].Kind)
			require.Positive(t, d.Rejections[0].RetryAfter)
		})
	}
}

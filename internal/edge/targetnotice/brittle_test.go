package targetnotice

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// brittleTarget processes slots requests at a time, lets none wait, and fails once it has rejected
// more than bearable requests within a second. It is back after some seconds.
type brittleTarget struct {
	slots, bearable int
	busyUntil       []bootclock.Instant
	rejected        []bootclock.Instant
	downUntil       bootclock.Instant
	served, falls   int
}

const (
	brittleWork     = 15 * time.Millisecond
	brittleRestart  = 4 * time.Second
	brittleWindow   = time.Second
	brittleLinkTime = 2 * time.Millisecond // until a host has the answer
)

// arrive returns whether the target accepts a request.
func (b *brittleTarget) arrive(now bootclock.Instant) bool {
	kept := b.busyUntil[:0]
	for _, until := range b.busyUntil {
		if until > now {
			kept = append(kept, until)
		}
	}
	b.busyUntil = kept
	if now >= b.downUntil && len(b.busyUntil) < b.slots {
		b.busyUntil = append(b.busyUntil, now.Add(brittleWork))
		b.served++
		return true
	}
	if now < b.downUntil {
		return false
	}
	b.rejected = append(b.rejected, now)
	recent := b.rejected[:0]
	for _, at := range b.rejected {
		if now.Sub(at) < brittleWindow {
			recent = append(recent, at)
		}
	}
	b.rejected = recent
	if len(b.rejected) > b.bearable {
		b.falls++
		b.downUntil, b.rejected, b.busyUntil = now.Add(brittleRestart), nil, nil
	}
	return false
}

// playBrittle sends load requests a second from so many hosts to one target for 20 s. With
// informed set, hosts know that it is brittle.
func playBrittle(hosts int, load float64, informed bool) *brittleTarget {
	const step, duration = time.Millisecond, 20 * time.Second
	type answer struct {
		at       bootclock.Instant
		host     int
		accepted bool
	}
	random := rand.New(rand.NewPCG(1, uint64(hosts)))
	target := &brittleTarget{slots: 6, bearable: 15}
	trackers := make([]*Tracker, hosts)
	for i := range trackers {
		trackers[i] = New()
		trackers[i].Share = limitCase{hosts: hosts}.share(i)
		if informed {
			trackers[i].ObserveBrittle("a", at(0), target.bearable, target.slots)
		}
	}
	var answers []answer
	for now := at(1); now < at(1).Add(duration); now = now.Add(step) {
		for len(answers) > 0 && answers[0].at <= now {
			a := answers[0]
			answers = answers[1:]
			trackers[a.host].EndWait("a", Request)
			trackers[a.host].ObserveRoom("a", now, a.accepted, random.Float64())
		}
		for n := random.Float64() * 2 * load * step.Seconds(); n > random.Float64(); n-- {
			host := random.IntN(hosts)
			if v, _ := trackers[host].Admit("a", Request, now, now); v != Allowed {
				continue
			}
			accepted, took := target.arrive(now), brittleLinkTime
			if accepted {
				took += brittleWork
			}
			answers = append(answers, answer{now.Add(took), host, accepted})
		}
	}
	return target
}

// One that falls over again and again serves nobody, and its load makes the next one fall.
func TestBrittleTargetDoesNotFallOver(t *testing.T) {
	for _, hosts := range []int{1, 6, 30, 300} {
		for _, load := range []float64{200, 1000, 4000} { // the target serves 400
			target := playBrittle(hosts, load, true)
			require.LessOrEqual(t, target.falls, 2, "%d hosts, %v a second", hosts, load)
			users := min(hosts, holdersPerSlot*target.slots) // the others use other targets
			wanted := load * float64(users) / float64(hosts)
			require.Greater(t, float64(target.served), 20*min(wanted, 400)/8, "%d hosts, %v a second", hosts, load)
		}
	}
	require.Greater(t, playBrittle(6, 1000, false).falls, 2, "the load must be one under which it falls")
}

func TestHostPausesForWantOfRoom(t *testing.T) {
	tracker := New()
	require.Zero(t, tracker.ObserveRoom("a", at(0), false, 0), "not brittle")
	require.True(t, tracker.ObserveBrittle("a", at(0), 5, 2))
	require.False(t, tracker.ObserveBrittle("a", at(0), 5, 2))
	for range 2 {
		v, _ := tracker.Admit("a", Request, at(0), at(0))
		require.Equal(t, Allowed, v)
	}
	require.Equal(t, NoRoom, tracker.Check("a", Request, at(0), at(0)), "as many as it has slots")
	require.Equal(t, Allowed, tracker.Check("a", Continuation, at(0), at(0)))
	require.Equal(t, Allowed, tracker.Check("a", ForwardedRequest, at(0), at(0)), "the asking host has counted it")
	tracker.EndWait("a", Request)
	require.Equal(t, Allowed, tracker.Check("a", Request, at(0), at(0)))
	require.Equal(t, minFullPause, tracker.ObserveRoom("a", at(1), false, 0))
	require.Equal(t, NoRoom, tracker.Check("a", Request, at(1), at(1)))
	require.Equal(t, minFullPause/2, tracker.ObserveRoom("a", at(1.5), false, 0.9), "one pause for requests that were on their way")
	require.Equal(t, 2*minFullPause, tracker.ObserveRoom("a", at(3), false, 0))
	tracker.ObserveRoom("a", at(6), true, 0)
	require.Equal(t, minFullPause, tracker.ObserveRoom("a", at(7), false, 0))
	require.True(t, tracker.ObserveBrittle("a", at(8), 0, 0))
	require.Equal(t, Allowed, tracker.Check("a", Request, at(8), at(8)))
	require.False(t, tracker.AnyBrittle())
}

package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/control"
	"corianderhitch/internal/platform"
)

func TestFleetOfAnySizeAgreesOnJoinCrashAndLeave(t *testing.T) {
	for _, n := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 7)
			took, ok := f.until(30*time.Second, f.agreed)
			require.True(t, ok, "no agreement after the start")
			t.Logf("%d hosts agree after %v", n, took)
			f.run(5 * time.Second)

			f.gone[1] = true
			took, ok = f.until(20*time.Second, f.agreed)
			require.True(t, ok, "crash not known everywhere")
			t.Logf("crash known everywhere after %v", took)

			f.agents[2].UpdateSelf(func(m *control.Member) { m.State = control.MemberLeft })
			for _, m := range f.agents[2].Partners(f.now) {
				f.exchange(2, m)
			}
			f.gone[2] = true
			took, ok = f.until(5*time.Second, f.agreed)
			require.True(t, ok, "leave not known everywhere")
			t.Logf("leave known everywhere after %v", took)

			f.gone[1] = false
			f.join(1, 99)
			took, ok = f.until(30*time.Second, f.agreed)
			require.True(t, ok, "restart not known everywhere")
			t.Logf("restart known everywhere after %v", took)
		})
	}
}

func TestFrozenMemberComesBack(t *testing.T) {
	f := newFleet(8, 3)
	_, ok := f.until(30*time.Second, f.agreed)
	require.True(t, ok)
	f.paused[4] = true
	_, ok = f.until(20*time.Second, f.agreed)
	require.True(t, ok, "freeze not noticed")
	f.run(time.Minute)
	f.paused[4] = false
	took, ok := f.until(30*time.Second, f.agreed)
	require.True(t, ok, "woken host not taken back")
	t.Logf("woken host taken back after %v", took)
}

func TestRegionsApartHeal(t *testing.T) {
	for _, apart := range []time.Duration{time.Minute, 20 * time.Minute} {
		t.Run(apart.String(), func(t *testing.T) { testRegionsApart(t, apart) })
	}
}

func testRegionsApart(t *testing.T, apart time.Duration) {
	f := newFleet(16, 5)
	_, ok := f.until(30*time.Second, f.agreed)
	require.True(t, ok)
	f.cut = func(a, b int) bool { return (a%4 == 0) != (b%4 == 0) }
	f.run(apart)
	require.Len(t, f.agents[0].Live(), 4)
	require.Len(t, f.agents[1].Live(), 12)
	f.agents[1].ApplyDocumentIfNewer(9, content(9))
	f.run(5 * time.Second)
	require.Zero(t, f.agents[0].Document().Revision)
	f.cut = func(int, int) bool { return false }
	took, ok := f.until(3*time.Minute, f.agreed)
	require.True(t, ok, "halves did not find each other")
	require.Equal(t, int64(9), f.agents[0].Document().Revision)
	t.Logf("healed after %v", took)
}

func TestForgottenMemberIsNotRaisedByAnOldRecord(t *testing.T) {
	f := newFleet(4, 11)
	_, ok := f.until(30*time.Second, f.agreed)
	require.True(t, ok)
	old := f.agents[3].Self()
	f.gone[3] = true
	f.run(12 * time.Minute)
	_, known := f.agents[0].Member(old.Host)
	require.False(t, known, "dead host kept for ever")
	_, err := f.agents[0].HandleRequest(f.now, control.ExchangeArgs{Environment: "test", From: f.agents[1].Self(), Members: []control.Member{old}})
	require.NoError(t, err)
	_, known = f.agents[0].Member(old.Host)
	require.False(t, known, "forgotten host came back by an old record")
}

func TestOtherEnvironmentIsRefused(t *testing.T) {
	f := newFleet(1, 1)
	_, err := f.agents[0].HandleRequest(f.now, control.ExchangeArgs{Environment: "trial"})
	require.ErrorIs(t, err, ErrEnvironmentMismatch)
}

func TestDocumentSpreadsFastAtManySizes(t *testing.T) {
	for _, n := range []int{8, 50, 150} {
		f := newFleet(n, 21)
		_, ok := f.until(time.Minute, f.agreed)
		require.True(t, ok)
		f.agents[n/2].ApplyDocumentIfNewer(1, content(1))
		took, ok := f.until(14*time.Second, f.everywhere(func(s *State) bool { return s.Document().Revision == 1 }))
		require.True(t, ok)
		require.LessOrEqual(t, took, 2*time.Second)
		t.Logf("%d hosts: document everywhere after %v", n, took)
	}
}

func TestHostThatStartsGetsTheDocumentFromPeers(t *testing.T) {
	f := newFleet(5, 2)
	_, ok := f.until(30*time.Second, f.agreed)
	require.True(t, ok)
	f.agents[0].ApplyDocumentIfNewer(4, content(4))
	f.run(time.Second)
	f.join(5, 77)
	took, ok := f.until(3*time.Second, func() bool { return f.agents[5].Document().Revision == 4 })
	require.True(t, ok)
	t.Logf("document after %v", took)
}

func TestLeavingIsKnownEverywhereWithinFiveSeconds(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		f := newFleet(30, 8)
		_, ok := f.until(time.Minute, f.agreed)
		require.True(t, ok)
		f.agents[1].UpdateTarget(f.now, "engine-1", func(control.TargetState) (control.TargetState, bool) {
			return control.TargetState{Target: platform.Target{Name: "engine-1", Kind: platform.TargetEngine}, Healthy: true, Owner: "host-001"}, true
		})
		_, ok = f.until(5*time.Second, f.everywhere(func(s *State) bool { return len(s.Targets(f.now)) == 1 }))
		require.True(t, ok, "target not known everywhere")
		f.loss = loss
		f.agents[20].AddEvents(f.now, []control.Event{{ID: "n1", Kind: control.EventLeaving, Target: "engine-1", Seen: f.now}})
		leaving := func(s *State) bool { rows := s.Targets(f.now); return len(rows) == 1 && rows[0].Leaving }
		took, ok := f.until(5*time.Second, f.everywhere(leaving))
		require.True(t, ok, "leaving not known everywhere at loss %v", loss)
		t.Logf("loss %v: leaving known after %v", loss, took)
		f.run(time.Minute)
		require.True(t, f.everywhere(leaving)(), "leaving was forgotten")
	}
}

// TestRevisionsNeverDecrease draws faults: loss, repetition and reordering of
// messages, pauses, cuts, two watchers that read the store at any moment.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "hosts")
		f := newFleet(n, rapid.Uint64().Draw(rt, "seed"))
		f.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		f.repeat = rapid.Float64Range(0, 0.5).Draw(rt, "repeat")
		latest := int64(0)
		check := revisionCheck(rt, f)
		for range rapid.IntRange(5, 40).Draw(rt, "actions") {
			latest = act(rt, f, latest)
			f.step()
			check()
		}
		f.loss, f.repeat, f.paused = 0, 0, make(map[int]bool)
		f.cut = func(int, int) bool { return false }
		_, ok := f.until(3*time.Minute, func() bool {
			check()
			return f.agreed() && f.everywhere(func(s *State) bool { return s.Document().Revision == latest })()
		})
		if !ok {
			rt.Fatalf("live hosts did not converge on revision %d", latest)
		}
	})
}

// revisionCheck returns a check that no host stepped back and that each holds
// the content of its revision.
func revisionCheck(rt *rapid.T, f *fleet) func() {
	seen := make([]int64, len(f.agents))
	return func() {
		for i, s := range f.agents {
			held := s.Document()
			if held.Revision < seen[i] {
				rt.Fatalf("host %d stepped back from %d to %d", i, seen[i], held.Revision)
			}
			if held.Revision > 0 && string(held.Content) != string(content(held.Revision)) {
				rt.Fatalf("host %d holds a foreign content of revision %d", i, held.Revision)
			}
			seen[i] = held.Revision
		}
	}
}

// act does one drawn action and returns the latest accepted revision.
func act(rt *rapid.T, f *fleet, latest int64) int64 {
	n := len(f.agents)
	host := rapid.IntRange(0, n-1).Draw(rt, "host")
	switch rapid.IntRange(0, 5).Draw(rt, "action") {
	case 0:
		latest++
		f.agents[host].ApplyDocumentIfNewer(latest, content(latest))
	case 1: // a watcher that was paused between its read and its use of it
		if latest > 0 {
			old := rapid.Int64Range(1, latest).Draw(rt, "old")
			f.agents[host].ApplyDocumentIfNewer(old, content(old))
		}
	case 2:
		f.paused[host] = !f.paused[host]
	case 3:
		side := rapid.IntRange(0, n).Draw(rt, "side")
		f.cut = func(a, b int) bool { return (a < side) != (b < side) }
	case 4:
		f.cut = func(int, int) bool { return false }
	case 5:
		f.run(time.Duration(rapid.IntRange(1, 80).Draw(rt, "steps")) * simStep)
	}
	return latest
}

func TestLoadsAreToldAtAPaceAndHealthAtOnce(t *testing.T) {
	f := newFleet(1, 1)
	s := f.agents[0]
	put := func(running int, healthy bool) bool {
		before, _ := s.Version()
		s.UpdateTarget(f.now, "e", func(row control.TargetState) (control.TargetState, bool) {
			row.Target = platform.Target{Name: "e", Kind: platform.TargetEngine}
			row.Healthy, row.Load.Running = healthy, running
			return row, true
		})
		after, _ := s.Version()
		return after != before
	}
	require.True(t, put(1, true), "a new target is told at once")
	require.False(t, put(2, true), "a load is told later")
	require.True(t, put(2, false), "a failure is told at once")
	require.False(t, put(3, false))
	f.now = f.now.Add(minLoadPace)
	before, _ := s.Version()
	s.Tick(f.now)
	after, _ := s.Version()
	require.NotEqual(t, before, after, "the load that waited is told")
}

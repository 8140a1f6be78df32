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

func TestFleetConvergesOnJoinCrashAndLeave(t *testing.T) {
	for _, n := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 7)
			took, ok := f.runUntil(30*time.Second, f.membershipAgrees)
			require.True(t, ok, "no agreement after startup")
			t.Logf("%d hosts agree after %v", n, took)
			f.run(5 * time.Second)

			f.stopped[1] = true
			took, ok = f.runUntil(20*time.Second, f.membershipAgrees)
			require.True(t, ok, "crash not known everywhere")
			t.Logf("crash known everywhere after %v", took)

			f.agents[2].UpdateSelf(func(m *control.Member) { m.State = control.MemberLeft })
			for _, m := range f.agents[2].Partners(f.now) {
				f.exchange(2, m)
			}
			f.stopped[2] = true
			took, ok = f.runUntil(5*time.Second, f.membershipAgrees)
			require.True(t, ok, "leave not known everywhere")
			t.Logf("leave known everywhere after %v", took)

			f.stopped[1] = false
			f.start(1, 99)
			took, ok = f.runUntil(30*time.Second, f.membershipAgrees)
			require.True(t, ok, "restart not known everywhere")
			t.Logf("restart known everywhere after %v", took)
		})
	}
}

func TestPausedMemberRejoins(t *testing.T) {
	f := newFleet(8, 3)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.paused[4] = true
	_, ok = f.runUntil(20*time.Second, f.membershipAgrees)
	require.True(t, ok, "pause not detected")
	f.run(time.Minute)
	f.paused[4] = false
	took, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok, "resumed host did not rejoin")
	t.Logf("resumed host rejoined after %v", took)
}

func TestPartitionedRegionsConverge(t *testing.T) {
	for _, duration := range []time.Duration{time.Minute, 20 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) { testPartitionHeals(t, duration) })
	}
}

func testPartitionHeals(t *testing.T, duration time.Duration) {
	f := newFleet(16, 5)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.partitioned = func(a, b int) bool { return (a%4 == 0) != (b%4 == 0) }
	f.run(duration)
	require.Len(t, f.agents[0].Live(), 4)
	require.Len(t, f.agents[1].Live(), 12)
	f.agents[1].ApplyDocumentIfNewer(9, content(9))
	f.run(5 * time.Second)
	require.Zero(t, f.agents[0].Document().Revision)
	f.partitioned = func(int, int) bool { return false }
	took, ok := f.runUntil(3*time.Minute, f.membershipAgrees)
	require.True(t, ok, "the partitions did not merge")
	require.Equal(t, int64(9), f.agents[0].Document().Revision)
	t.Logf("converged after %v", took)
}

func TestOldRecordDoesNotRestoreRemovedMember(t *testing.T) {
	f := newFleet(4, 11)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	old := f.agents[3].Self()
	f.stopped[3] = true
	f.run(12 * time.Minute)
	_, known := f.agents[0].Member(old.Host)
	require.False(t, known, "dead host was never removed")
	_, err := f.agents[0].HandleRequest(f.now, control.ExchangeArgs{Environment: "test", From: f.agents[1].Self(), Members: []control.Member{old}})
	require.NoError(t, err)
	_, known = f.agents[0].Member(old.Host)
	require.False(t, known, "an old record restored a removed host")
}

func TestOtherEnvironmentIsRejected(t *testing.T) {
	f := newFleet(1, 1)
	_, err := f.agents[0].HandleRequest(f.now, control.ExchangeArgs{Environment: "trial"})
	require.ErrorIs(t, err, ErrEnvironmentMismatch)
}

func TestDocumentReachesAllHostsWithinTwoSeconds(t *testing.T) {
	for _, n := range []int{8, 50, 150} {
		f := newFleet(n, 21)
		_, ok := f.runUntil(time.Minute, f.membershipAgrees)
		require.True(t, ok)
		f.agents[n/2].ApplyDocumentIfNewer(1, content(1))
		took, ok := f.runUntil(14*time.Second, f.onAllRunning(func(s *State) bool { return s.Document().Revision == 1 }))
		require.True(t, ok)
		require.LessOrEqual(t, took, 2*time.Second)
		t.Logf("%d hosts: document everywhere after %v", n, took)
	}
}

func TestNewHostReceivesDocumentFromPeers(t *testing.T) {
	f := newFleet(5, 2)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.agents[0].ApplyDocumentIfNewer(4, content(4))
	f.run(time.Second)
	f.start(5, 77)
	took, ok := f.runUntil(3*time.Second, func() bool { return f.agents[5].Document().Revision == 4 })
	require.True(t, ok)
	t.Logf("document after %v", took)
}

func TestLeavingEventReachesAllHostsWithinFiveSeconds(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		f := newFleet(30, 8)
		_, ok := f.runUntil(time.Minute, f.membershipAgrees)
		require.True(t, ok)
		f.agents[1].UpdateTarget(f.now, "engine-1", func(control.TargetState) (control.TargetState, bool) {
			return control.TargetState{Target: platform.Target{Name: "engine-1", Kind: platform.TargetEngine}, Healthy: true, Owner: "host-001"}, true
		})
		_, ok = f.runUntil(5*time.Second, f.onAllRunning(func(s *State) bool { return len(s.Targets(f.now)) == 1 }))
		require.True(t, ok, "target not known everywhere")
		f.lossRate = loss
		f.agents[20].AddEvents(f.now, []control.Event{{ID: "n1", Kind: control.EventLeaving, Target: "engine-1", Seen: f.now}})
		leaving := func(s *State) bool { rows := s.Targets(f.now); return len(rows) == 1 && rows[0].Leaving }
		took, ok := f.runUntil(5*time.Second, f.onAllRunning(leaving))
		require.True(t, ok, "leaving not known everywhere at loss %v", loss)
		t.Logf("loss %v: leaving known after %v", loss, took)
		f.run(time.Minute)
		require.True(t, f.onAllRunning(leaving)(), "the leaving state was cleared")
	}
}

// Two hosts observe a target at first, and the row of the one that did not mark it replaces
// the other's.
func TestLeavingEventIsLostWhenRowsOfTwoObserversCross(t *testing.T) {
	const owner, other = 0, 1
	for name, otherKnows := range map[string]bool{"other observer knows the event": true, "it does not yet": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 1)
			_, ok := f.runUntil(time.Minute, f.membershipAgrees)
			require.True(t, ok)
			poll := func(i int, change func(*control.TargetState)) {
				host := f.agents[i].Self().Host
				f.agents[i].UpdateTarget(f.now, "engine-1", func(row control.TargetState) (control.TargetState, bool) {
					row.Owner, row.Observed = host, f.now
					change(&row)
					return row, true
				})
			}
			unchanged := func(*control.TargetState) {}
			poll(owner, func(row *control.TargetState) {
				row.Target, row.Healthy = platform.Target{Name: "engine-1", Kind: platform.TargetEngine}, true
			})
			_, ok = f.runUntil(5*time.Second, f.onAllRunning(func(s *State) bool { return len(s.Targets(f.now)) == 1 }))
			require.True(t, ok, "target not known everywhere")

			event := []control.Event{{ID: "n1", Kind: control.EventLeaving, Target: "engine-1", Seen: f.now}}
			f.agents[owner].AddEvents(f.now, event)
			if otherKnows {
				f.agents[other].AddEvents(f.now, event)
			}
			poll(other, unchanged)
			if !otherKnows {
				reply := control.ExchangeArgs{Environment: "test", From: f.agents[other].Self(), Targets: rawRows(f.agents[other], "engine-1")}
				_, err := f.agents[owner].HandleRequest(f.now, reply)
				require.NoError(t, err)
				poll(owner, unchanged)
			}
			leaving := func(s *State) bool { return s.Targets(f.now)[0].Leaving }
			f.run(5 * time.Second)
			require.True(t, f.onAllRunning(leaving)(), "leaving lost")
			poll(other, unchanged)
			f.run(5 * time.Second)
			require.True(t, rawRows(f.agents[owner], "engine-1")[0].Leaving, "leaving is not in the row, which outlasts the event")

			poll(other, func(row *control.TargetState) { row.Leaving = false })
			f.run(5 * time.Second)
			require.False(t, leaving(f.agents[owner]) || leaving(f.agents[other]), "the observer has cleared it")
		})
	}
}

func rawRows(s *State, name string) []control.TargetState {
	row, _ := s.Target(name)
	return []control.TargetState{row}
}

// TestDocumentRevisionsNeverDecrease injects random faults: lost, duplicated and
// reordered messages, pauses, partitions, and stale reads of the store by several
// watchers. No host may return to a lower revision, and all must converge.
func TestDocumentRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "hosts")
		f := newFleet(n, rapid.Uint64().Draw(rt, "seed"))
		f.lossRate = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		f.duplicateRate = rapid.Float64Range(0, 0.5).Draw(rt, "repeat")
		latest := int64(0)
		check := revisionCheck(rt, f)
		for range rapid.IntRange(5, 40).Draw(rt, "actions") {
			latest = applyRandomAction(rt, f, latest)
			f.step()
			check()
		}
		f.lossRate, f.duplicateRate, f.paused = 0, 0, make(map[int]bool)
		f.partitioned = func(int, int) bool { return false }
		_, ok := f.runUntil(3*time.Minute, func() bool {
			check()
			return f.membershipAgrees() && f.onAllRunning(func(s *State) bool { return s.Document().Revision == latest })()
		})
		if !ok {
			rt.Fatalf("live hosts did not converge on revision %d", latest)
		}
	})
}

// revisionCheck returns a check that no host returned to a lower revision and that
// each has the right content for its revision.
func revisionCheck(rt *rapid.T, f *fleet) func() {
	highest := make([]int64, len(f.agents))
	return func() {
		for i, s := range f.agents {
			current := s.Document()
			if current.Revision < highest[i] {
				rt.Fatalf("host %d returned from revision %d to %d", i, highest[i], current.Revision)
			}
			if current.Revision > 0 && string(current.Content) != string(content(current.Revision)) {
				rt.Fatalf("host %d has wrong content for revision %d", i, current.Revision)
			}
			highest[i] = current.Revision
		}
	}
}

// applyRandomAction performs one random action and returns the latest accepted
// revision.
func applyRandomAction(rt *rapid.T, f *fleet, latest int64) int64 {
	n := len(f.agents)
	host := rapid.IntRange(0, n-1).Draw(rt, "host")
	switch rapid.IntRange(0, 5).Draw(rt, "action") {
	case 0:
		latest++
		f.agents[host].ApplyDocumentIfNewer(latest, content(latest))
	case 1: // a watcher that was paused between reading a revision and applying it
		if latest > 0 {
			old := rapid.Int64Range(1, latest).Draw(rt, "old")
			f.agents[host].ApplyDocumentIfNewer(old, content(old))
		}
	case 2:
		f.paused[host] = !f.paused[host]
	case 3:
		side := rapid.IntRange(0, n).Draw(rt, "side")
		f.partitioned = func(a, b int) bool { return (a < side) != (b < side) }
	case 4:
		f.partitioned = func(int, int) bool { return false }
	case 5:
		f.run(time.Duration(rapid.IntRange(1, 80).Draw(rt, "steps")) * simStep)
	}
	return latest
}

func TestLoadNotificationsAreRateLimitedButHealthIsNot(t *testing.T) {
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
	require.True(t, put(1, true), "a new target is notified immediately")
	require.False(t, put(2, true), "a load-only change is delayed")
	require.True(t, put(2, false), "a failure is notified immediately")
	require.False(t, put(3, false))
	f.now = f.now.Add(minLoadNotifyInterval)
	before, _ := s.Version()
	s.Tick(f.now)
	after, _ := s.Version()
	require.NotEqual(t, before, after, "the delayed load change is notified")
}

// The registration is read in pages. The unknown hosts of the first page must stay queued
// when the last page, whose hosts are known, has been read.
func TestUnknownHostsOfEachPageAreProbed(t *testing.T) {
	f := newFleet(1, 1)
	s := f.agents[0]
	require.Equal(t, 1, s.DiscoverMembers([]control.Member{{Host: "unknown", AgentAddr: "127.0.0.9:1"}}))
	require.Zero(t, s.DiscoverMembers([]control.Member{s.Self()}))
	require.Contains(t, s.TakeProbeAddresses(), "127.0.0.9:1")
}

// The crashed engine's request is held for 30 minutes by hosts that run on.
func TestRestartedAgentForgetsCrashSuspect(t *testing.T) {
	f := newFleet(3, 7)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.agents[0].AddEvents(f.now, []control.Event{{ID: "c1", Kind: control.EventCrash, Target: "engine-1", Fingerprint: 7, Seen: f.now}})
	f.run(10 * time.Second)
	require.Len(t, f.agents[1].NewEvents(), 1)
	f.stopped[1] = true
	f.run(5 * time.Second)
	f.stopped[1] = false
	f.start(1, 99)
	_, ok = f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.run(10 * time.Second)
	require.Len(t, f.agents[1].NewEvents(), 1, "the crash is not known to the restarted agent")
}

// Guards against a restarted agent that takes the target of an earlier crash for down, or
// counts the crash from its own start.
func TestRepairOfEarlierCrashIsNoNews(t *testing.T) {
	f := newFleet(3, 7)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.agents[0].AddEvents(f.now, []control.Event{
		{ID: "c1", Kind: control.EventCrash, Target: "engine-1", Fingerprint: 7},
		{ID: "f1", Kind: control.EventCleared, Fingerprint: 7},
	})
	f.run(20 * time.Minute)
	f.putEverywhere(1)
	f.agents[0].UpdateTarget(f.now, "engine-1", func(control.TargetState) (control.TargetState, bool) {
		return control.TargetState{Target: platform.Target{Name: "engine-1", Kind: platform.TargetEngine}, Healthy: true, Owner: "host-000"}, true
	})
	f.start(1, 99)
	_, ok = f.runUntil(30*time.Second, func() bool {
		rows := f.agents[1].Targets(f.now)
		require.True(t, len(rows) == 0 || rows[0].Healthy, "marked down by an earlier crash")
		return len(rows) == 2 && len(f.agents[1].NewEvents()) == 1
	})
	require.True(t, ok)
	events := <-f.agents[1].NewEvents()
	require.Len(t, events, 2)
	require.Equal(t, control.EventCrash, events[0].Kind, "the oldest comes first")
	for _, e := range events {
		require.InDelta(t, 20*time.Minute, e.Age, float64(20*time.Second))
	}
	f.run(11 * time.Minute)
	f.start(2, 98)
	f.run(30 * time.Second)
	require.Empty(t, f.agents[2].NewEvents(), "an expired crash was repaired")
}

// Guards against crashes that a restarted agent takes for one moment, since they are news.
func TestRepairOfRecentCrashesKeepsTheirAges(t *testing.T) {
	f := newFleet(3, 7)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	for i := range 3 {
		f.agents[0].AddEvents(f.now, []control.Event{{ID: fmt.Sprint("c", i), Kind: control.EventCrash, Target: fmt.Sprint("engine-", i), Fingerprint: 7}})
		f.run(2 * time.Second)
	}
	f.start(1, 99)
	var ages []time.Duration
	_, ok = f.runUntil(8*time.Second, func() bool {
		for len(f.agents[1].NewEvents()) > 0 {
			for _, e := range <-f.agents[1].NewEvents() {
				ages = append(ages, e.Age)
			}
		}
		return len(ages) == 3
	})
	require.True(t, ok)
	require.InDelta(t, 4*time.Second, ages[0]-ages[2], float64(time.Second))
}

// Guards against suspects of a planned end: whoever is told of the crash later can't know
// that the target was leaving.
func TestCrashOfLeavingTargetIsNotRepairedAsCrash(t *testing.T) {
	f := newFleet(3, 7)
	_, ok := f.runUntil(30*time.Second, f.membershipAgrees)
	require.True(t, ok)
	f.agents[0].UpdateTarget(f.now, "engine-1", func(control.TargetState) (control.TargetState, bool) {
		return control.TargetState{Target: platform.Target{Name: "engine-1", Kind: platform.TargetEngine, Leaving: true}, Owner: "host-000"}, true
	})
	f.run(5 * time.Second)
	f.agents[2].AddEvents(f.now, []control.Event{{ID: "c1", Kind: control.EventCrash, Target: "engine-1", Fingerprint: 7}})
	f.run(time.Minute)
	f.agents[0].UpdateTarget(f.now, "engine-1", func(row control.TargetState) (control.TargetState, bool) {
		row.Left = true
		return row, true
	})
	f.start(1, 99)
	_, ok = f.runUntil(30*time.Second, func() bool { return len(f.agents[1].NewEvents()) == 1 })
	require.True(t, ok)
	require.Equal(t, control.EventDown, (<-f.agents[1].NewEvents())[0].Kind)
}

// More happens than agents keep, with a full list of suspects at each crash. A message
// holds no more than one batch, a restarted agent gets what others have, and repairs
// become rare although the agents keep different events.
func TestRepairOfManyEventsIsBounded(t *testing.T) {
	const hosts, kept, batch = 8, 4096, 64 // as in internal/agent/events
	f := newFleet(hosts, 7)
	_, ok := f.runUntil(time.Minute, f.membershipAgrees)
	require.True(t, ok)
	for i := range kept + 500 {
		e := control.Event{ID: fmt.Sprintf("c%d", i), Kind: control.EventCrash, Target: fmt.Sprintf("engine-%d", i), Fingerprint: uint64(i), Beside: make([]uint64, 256*(i%2))}
		f.agents[f.random.IntN(hosts)].AddEvents(f.now, []control.Event{e})
		if i%100 == 0 {
			f.run(time.Second)
		}
	}
	f.run(30 * time.Second)
	largest, mostSuspects, repairs := 0, 0, 0
	f.onCall = func(args control.ExchangeArgs, reply control.ExchangeReply) {
		suspects := 0
		for _, e := range reply.News {
			suspects += len(e.Beside)
		}
		largest, mostSuspects = max(largest, len(reply.News)), max(mostSuspects, suspects)
		if len(args.EventHashes) > 0 {
			repairs++
		}
	}
	received := make(map[string]bool)
	f.start(1, 99)
	_, ok = f.runUntil(5*time.Minute, func() bool {
		for len(f.agents[1].NewEvents()) > 0 {
			for _, e := range <-f.agents[1].NewEvents() {
				received[e.ID] = true
			}
		}
		return len(received) >= kept-50
	})
	require.True(t, ok, "the restarted agent got %d events", len(received))
	require.LessOrEqual(t, largest, batch)
	require.LessOrEqual(t, mostSuspects, 2048)
	f.run(time.Minute)
	repairs = 0
	f.run(time.Minute)
	require.LessOrEqual(t, repairs, hosts*4*8, "repairs in a minute: four in each period that follows a pause of 15")
	t.Logf("largest message: %d events, %d suspects; %d repairs in a minute", largest, mostSuspects, repairs)
}

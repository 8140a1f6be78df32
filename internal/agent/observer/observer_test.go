package observer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func row(name string) control.TargetState {
	return control.TargetState{Target: platform.Target{Name: name, Address: "a", Kind: platform.TargetEngine}, Version: 1, Healthy: true}
}

func TestStateTrackerHealth(t *testing.T) {
	var tracker StateTracker
	r := tracker.Update(start, "h", row("e"), Sample{Outcome: OutcomeTimeout})
	require.True(t, r.Healthy, "a single timeout must not make a target unhealthy")
	r = tracker.Update(start, "h", r, Sample{Outcome: OutcomeTimeout})
	require.False(t, r.Healthy, "stalled target")
	r = tracker.Update(start, "h", r, Sample{})
	require.True(t, r.Healthy)
	r = tracker.Update(start, "h", r, Sample{Outcome: OutcomeUnreachable})
	require.False(t, r.Healthy, "unreachable target")
}

func TestLeavingPersistsUntilRestart(t *testing.T) {
	leaving := Sample{Load: engine.LoadReport{Leaving: true}}
	notLeaving := Sample{}
	var tracker StateTracker
	r := tracker.Update(start, "h", row("e"), leaving)
	require.True(t, r.Leaving)
	for s := range 59 {
		r = tracker.Update(start.Add(time.Duration(s)*time.Second), "h", r, notLeaving)
		require.True(t, r.Leaving, "a lagging report cleared leaving after %d s", s)
	}
	r = tracker.Update(start.Add(leavingClearDelay), "h", r, notLeaving)
	require.False(t, r.Leaving, "cleared after the delay")

	r = tracker.Update(start, "h", r, leaving)
	r = tracker.Update(start, "h", r, Sample{Outcome: OutcomeUnreachable})
	require.True(t, r.Leaving)
	r = tracker.Update(start, "h", r, notLeaving)
	require.False(t, r.Leaving, "cleared after a restart")

	r.ListedLeaving = true
	r = tracker.Update(start.Add(time.Hour), "h", r, notLeaving)
	require.True(t, r.Leaving, "the list still says that it is leaving")
}

func TestLeavingInferredFromOneRejectionClearsSoon(t *testing.T) {
	var tracker StateTracker
	r := row("e")
	r.Leaving = true // inferred from a rejected request
	for s := range 10 {
		r = tracker.Update(start.Add(time.Duration(s)*time.Second), "h", r, Sample{})
		require.True(t, r.Leaving, "cleared after only %d s", s)
	}
	r = tracker.Update(start.Add(inferredLeavingClearDelay), "h", r, Sample{})
	require.False(t, r.Leaving)

	var successor StateTracker // of a host that takes over a target whose own report announced leaving
	r.Leaving, r.Load.Leaving = true, true
	for s := range 59 {
		r = successor.Update(start.Add(time.Duration(s)*time.Second), "h", r, Sample{})
		require.True(t, r.Leaving, "announced leaving, cleared after only %d s", s)
	}
}

func TestListComparer(t *testing.T) {
	entry := func(name string, leaving bool) platform.Target {
		return platform.Target{Name: name, Address: "a", Kind: platform.TargetEngine, Leaving: leaving}
	}
	var comparer ListComparer
	writes := comparer.Changes([]platform.Target{entry("e1", false), entry("e2", true)}, nil, false)
	require.Len(t, writes, 2)
	require.True(t, writes[1].Leaving && writes[1].ListedLeaving)

	rows := writes
	rows[0].Leaving = true // known from another source
	require.Empty(t, comparer.Changes([]platform.Target{entry("e1", false), entry("e2", true)}, rows, true), "the lagging list cleared leaving")

	writes = comparer.Changes([]platform.Target{entry("e1", false)}, rows, false)
	require.Len(t, writes, 1)
	require.True(t, writes[0].Left)

	moved := entry("e1", false)
	moved.Address = "b"
	writes = comparer.Changes([]platform.Target{moved}, rows[:1], false)
	require.Len(t, writes, 1)
	require.False(t, writes[0].Leaving, "restart at another address")

	var second ListComparer // a reader that takes over with an older copy
	require.Empty(t, second.Changes([]platform.Target{moved}, []control.TargetState{writes[0], row("e9")}, true))
	writes = second.Changes([]platform.Target{moved}, []control.TargetState{writes[0], row("e9")}, true)
	require.Len(t, writes, 1)
	require.True(t, writes[0].Left)
}

// changingFleet is a Fleet whose row of target e becomes leaving right after it was read.
type changingFleet struct {
	Fleet
	row control.TargetState
}

func (f *changingFleet) Targets(time.Time) []control.TargetState {
	read := f.row
	f.row.Leaving, f.row.Owner, f.row.Version = true, "observer", f.row.Version+1
	return []control.TargetState{read}
}

func (f *changingFleet) UpdateTarget(_ time.Time, _ string, change func(control.TargetState) (control.TargetState, bool)) {
	f.row, _ = change(f.row)
}

type fixedList []platform.Target

func (l fixedList) Targets(context.Context) ([]platform.Target, error) { return l, nil }

func TestReadOfTheListUndoesLeavingEvent(t *testing.T) {
	for name, list := range map[string]fixedList{
		"entry changed": {{Name: "e", Address: "a", Domain: "other", Kind: platform.TargetEngine}},
		"entry removed": {},
	} {
		fleet := &changingFleet{row: control.TargetState{Target: platform.Target{Name: "e", Address: "a", Kind: platform.TargetEngine}, Healthy: true, Version: 1}}
		l := &Lister{log: logging.Discard(), list: list, fleet: fleet, interval: time.Minute}
		comparer := ListComparer{last: map[string]platform.Target{"e": fleet.row.Target}}
		require.True(t, l.read(t.Context(), &comparer, true))
		require.True(t, fleet.row.Leaving, name)
		require.Equal(t, "observer", fleet.row.Owner, name)
		require.Equal(t, len(list) == 0, fleet.row.Left, name)
	}
}

func TestCacheDeltaMarksGaps(t *testing.T) {
	events := func(seqs ...int64) engine.CacheEvents {
		var c engine.CacheEvents
		for _, s := range seqs {
			c.Events = append(c.Events, engine.CacheEvent{Seq: s, Kind: engine.CacheStored, Hash: uint64(s)})
			c.Next = s
		}
		return c
	}
	require.False(t, cacheDelta("e", 3, events(4, 5)).Lost)
	require.True(t, cacheDelta("e", 3, events(5)).Lost, "gap at the start")
	require.True(t, cacheDelta("e", 3, events(4, 6)).Lost, "gap inside")
	require.True(t, cacheDelta("e", 3, engine.CacheEvents{Next: 1}).Lost, "counter went back")
	require.False(t, cacheDelta("e", 3, engine.CacheEvents{Next: 3}).Lost)
}

func TestTableOverlaysAndOrder(t *testing.T) {
	table := NewTable()
	table.Put(start, row("e"))
	table.MarkDown(start, "e")
	require.False(t, table.Listed(start)[0].Healthy)
	require.True(t, table.Listed(start.Add(downOverlayTTL))[0].Healthy)
	table.MarkLeaving(start, "e")
	old := row("e")
	old.Observed = start.Add(time.Second)
	table.Merge(start, "peer", []control.TargetState{old})
	require.True(t, table.Listed(start)[0].Leaving, "an older row cleared the leaving overlay")

	left := row("e")
	left.Left, left.Version = true, 9
	require.Equal(t, 1, table.Merge(start, "peer", []control.TargetState{left}))
	require.Zero(t, table.Merge(start, "peer", []control.TargetState{old}), "an old row restored the target")
	require.Empty(t, table.Listed(start))
	table.Tick(start.Add(leftRetention))
	require.Zero(t, table.Merge(start, "peer", []control.TargetState{left}), "unknown rows of targets that left are not added")
}

func TestEveryTargetHasOneObserver(t *testing.T) {
	var live []control.Member
	for _, h := range []string{"h1", "h2", "h3"} {
		live = append(live, control.Member{Host: h, Region: "r"})
	}
	rows := []control.TargetState{row("a"), row("b"), row("c"), row("d")}
	total := 0
	for _, m := range live {
		total += len(OwnedTargets(m, live, rows))
	}
	require.Equal(t, len(rows), total)
}

package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
)

// state is a sink that keeps the resulting list.
type state map[string]string

func (s state) Replace(entries []platform.Entry, _ platform.Revision, settled bool) {
	if settled {
		clear(s)
	}
	for _, e := range entries {
		s[e.Key] = string(e.Value)
	}
}

func (s state) Apply(events []platform.Event, _ platform.Revision) {
	for _, e := range events {
		if e.Deleted {
			delete(s, e.Entry.Key)
		} else {
			s[e.Entry.Key] = string(e.Entry.Value)
		}
	}
}

func put(key, value string, revision platform.Revision) platform.Event {
	return platform.Event{Entry: platform.Entry{Key: key, Value: []byte(value), Revision: revision}}
}

func remove(key string, revision platform.Revision) platform.Event {
	return platform.Event{Entry: platform.Entry{Key: key, Revision: revision}, Deleted: true}
}

func TestFollowerReachesTheStateOfItsHub(t *testing.T) {
	hubState, followerState := state{}, state{}
	hub, follower := NewChangeLog(hubState), NewChangeLog(followerState)
	hub.Replace([]platform.Entry{{Key: "a", Value: []byte("1"), Revision: 3}, {Key: "b", Value: []byte("1"), Revision: 5}}, 5, true)
	follower.ApplyChanges(hub.Since(follower.Revision(), false))
	require.Equal(t, hubState, followerState)
	hub.Apply([]platform.Event{put("a", "2", 6), remove("b", 7)}, 7)
	changes := hub.Since(follower.Revision(), false)
	require.False(t, changes.Whole)
	require.Len(t, changes.Events, 2)
	follower.ApplyChanges(changes)
	require.Equal(t, state{"a": "2"}, followerState)
	require.Equal(t, hub.Revision(), follower.Revision())
}

func TestLaggingFollowerGetsTheWholeList(t *testing.T) {
	hubState, followerState := state{}, state{}
	hub, follower := NewChangeLog(hubState), NewChangeLog(followerState)
	hub.Replace(nil, 1, true)
	follower.ApplyChanges(hub.Since(0, false))
	for i := range maxKeptEvents + 10 {
		hub.Apply([]platform.Event{put(fmt.Sprint(i%7), fmt.Sprint(i), platform.Revision(2+i))}, platform.Revision(2+i))
	}
	changes := hub.Since(follower.Revision(), false)
	require.True(t, changes.Whole)
	follower.ApplyChanges(changes)
	require.Equal(t, hubState, followerState)
}

func TestChangeLogNeverGoesBack(t *testing.T) {
	s := state{}
	l := NewChangeLog(s)
	l.Apply([]platform.Event{put("a", "new", 9)}, 9)
	l.Replace([]platform.Entry{{Key: "a", Value: []byte("old"), Revision: 4}}, 5, true)
	l.Apply([]platform.Event{put("a", "older", 3)}, 5)
	require.Equal(t, state{"a": "new"}, s)
	require.Equal(t, platform.Revision(9), l.Revision())
}

func TestChooseHubsPicksTheLargestHosts(t *testing.T) {
	hosts := []Host{{Name: "a", CPUs: 0.2, Mbps: 200}, {Name: "b", CPUs: 0.8, Mbps: 200}, {Name: "c", CPUs: 0.8, Mbps: 200},
		{Name: "d", CPUs: 0.8, Mbps: 10}}
	chosen := ChooseHubs(hosts)
	require.Len(t, chosen, HubCount)
	for _, h := range chosen {
		require.Contains(t, []string{"b", "c"}, h.Name)
	}
	require.Equal(t, chosen, ChooseHubs([]Host{hosts[3], hosts[2], hosts[1], hosts[0]}))
	require.Len(t, ChooseHubs(hosts[:1]), 1)
}

// The hub lists the store right after it came back, when entries of live targets are
// missing, and once more when they have been written again or are gone for good. Both
// lists may have the same revision.
func TestFollowerKeepsMissingEntriesWhileTheHubIsSettling(t *testing.T) {
	followerState := state{}
	hub, follower := NewChangeLog(state{}), NewChangeLog(followerState)
	follower.Replace([]platform.Entry{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, 4, true)
	returned := platform.NewRevision(1, 3)
	hub.Replace([]platform.Entry{{Key: "a", Revision: returned}}, returned, false)
	follower.ApplyChanges(hub.Since(follower.Revision(), follower.Settling()))
	require.Contains(t, followerState, "b")
	hub.Replace([]platform.Entry{{Key: "a", Revision: returned}}, returned, true)
	follower.ApplyChanges(hub.Since(follower.Revision(), follower.Settling()))
	require.NotContains(t, followerState, "b")
	require.False(t, hub.Since(follower.Revision(), follower.Settling()).Whole)
}

package peers

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/relay"
)

func TestHubSeemsDeadBetweenTwoSyncsOfALargeFleet(t *testing.T) {
	for _, hosts := range []int{6, 62, 180, 295, 410, 1000} {
		e, _ := newAskingExchange(t, relay.Host{Name: "hub", Address: "127.0.0.1:9"})
		for i := range hosts - e.Members.Count() {
			e.Members.hosts[fmt.Sprint("host-", i)] = relay.Host{}
		}
		require.Equal(t, hosts, e.Members.Count())
		require.False(t, e.HasLiveHub(), "no answer yet")
		interval := e.SyncInterval()

		e.lastHubAnswer = bootclock.Now().Add(-interval - callTimeout)
		require.True(t, e.HasLiveHub(), "%d hosts: one lost call", hosts)
		e.lastHubAnswer = bootclock.Now().Add(-max(minHubTimeout, interval+2*callTimeout))
		require.False(t, e.HasLiveHub(), "%d hosts: two lost calls", hosts)
	}
}

func TestHubsThatDoNotAnswerAreDeadSooner(t *testing.T) {
	hubs := []relay.Host{{Name: "hub-1"}, {Name: "hub-2"}}
	e, _ := newAskingExchange(t, hubs...)
	for i := range 300 {
		e.Members.hosts[fmt.Sprint("host-", i)] = relay.Host{}
	}
	e.lastHubAnswer = bootclock.Now().Add(-minHubTimeout)
	e.unresponsive["hub-1"] = true
	require.True(t, e.HasLiveHub(), "the other hub answers")
	e.unresponsive["hub-2"] = true
	require.False(t, e.HasLiveHub())
}

// syncIsRequested reports whether a sync without waiting for the interval was requested.
func syncIsRequested(e *Exchange) bool {
	select {
	case <-e.syncRequested:
		return true
	default:
		return false
	}
}

func TestFailedSyncAsksTheOtherHubAtOnce(t *testing.T) {
	e, _ := newAskingExchange(t, relay.Host{Name: "dead"}, relay.Host{Name: "alive"})
	e.syncFailed(true)
	require.True(t, syncIsRequested(e))
	e.syncFailed(false)
	require.False(t, syncIsRequested(e), "once for each time that it stops answering")
}

func TestNoticeMakesAllHostsSyncAtOnce(t *testing.T) {
	e, _ := newAskingExchange(t, relay.Host{Name: "hub"}, relay.Host{Name: "other"})
	require.NoError(t, (&service{e}).Notice(NoticeArgs{Host: "hub"}, new(NoticeReply)))
	require.False(t, syncIsRequested(e))
	e.Host = "hub"
	require.NoError(t, (&service{e}).Notice(NoticeArgs{Host: "other"}, new(NoticeReply)))
	require.True(t, syncIsRequested(e), "the other hub hears of it")
}

// Hosts went on for the whole timeout with the lists of hubs that had said that they lost the store.
func TestHubsThatStateThatTheyDoNotFollowTheStoreAreNotLive(t *testing.T) {
	e, _ := newAskingExchange(t, relay.Host{Name: "hub-1"}, relay.Host{Name: "hub-2"})
	e.lastHubAnswer = bootclock.Now()
	e.recordFollowing("hub-1", false)
	require.True(t, syncIsRequested(e), "the other hub is asked at once")
	require.True(t, e.HasLiveHub(), "the other hub may follow the store")
	e.recordFollowing("hub-2", false)
	require.False(t, e.HasLiveHub())
	e.recordFollowing("hub-2", true)
	require.True(t, e.HasLiveHub())
	e.unresponsive["hub-2"] = true
	require.False(t, e.HasLiveHub())
}

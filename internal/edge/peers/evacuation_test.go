package peers

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/edge/targets"
)

// newConfirmedExchange returns the exchange of a host that knows a configuration, confirmed a second ago,
// and in whose deployment domains may be evacuated.
func newConfirmedExchange(t *testing.T) *Exchange {
	e := newExchange()
	e.Policy = policy.NewHolder(func([]byte) (*policy.Configuration, error) { return &policy.Configuration{Version: 1}, nil })
	_, err := e.Policy.ApplyIfNewer(nil, 1)
	require.NoError(t, err)
	e.Confirmer = freshness.New(e.Log, nil, nil)
	e.Confirmer.RecordConfirmation(bootclock.Now().Add(-time.Second))
	e.Evacuated = evacuation.NewHolder(slog.New(slog.DiscardHandler), func(int64) bool { return true })
	return e
}

// confirms reports whether the answer of a peer confirms what this host has.
func (e *Exchange) confirms(c Confirmation) bool {
	_, ok := e.applyConfirmation(relay.Host{Name: "peer", Address: "peer"}, bootclock.Now(), &c)
	return ok
}

// A host took the confirmation of an older build, which knows the configuration only, for one of the
// evacuated domains, and went on sending there.
func TestConfirmationCountsOnlyWithTheEvacuatedDomains(t *testing.T) {
	peer, e := newConfirmedExchange(t), newConfirmedExchange(t)
	require.False(t, e.confirms(peer.confirmation(policy.Stamp{}, true)), "the peer has just started and knows none")
	peer.Evacuated.Replace([]string{"a"}, 7, true, "test")
	require.True(t, e.confirms(peer.confirmation(policy.Stamp{}, true)))
	require.True(t, e.Evacuated.Blocks("a"), "in force before the confirmation counts")
	require.False(t, e.Evacuated.Blocks("b"))
	e.Evacuated.Replace(nil, 8, true, "test")
	require.True(t, e.confirms(peer.confirmation(policy.Stamp{}, true)))
	require.False(t, e.Evacuated.Blocks("a"), "this host's state is newer")
	older := peer.confirmation(policy.Stamp{}, true)
	older.Evacuation = evacuation.Snapshot{}
	require.False(t, e.confirms(older), "an older build")
}

// A hub that had lost the store went on placing runs of other hosts in an evacuated domain that these knew.
func TestHubLearnsOfAnEvacuationByTheSyncOfAHost(t *testing.T) {
	hub := newConfirmedExchange(t)
	hub.Inflight, hub.Health, hub.ChangeLog = inflight.New("hub"), ejection.New(), relay.NewChangeLog(nil)
	hub.Targets = targets.New(hub.Notices, nil)
	hub.FollowsStore = func() bool { return false }
	hub.Evacuated.Replace(nil, 5, true, "test")
	reply := new(SyncReply)
	require.NoError(t, (&service{hub}).Sync(SyncArgs{Host: "a", Evacuation: evacuation.Snapshot{Known: true, Domains: []string{"d"}, Revision: 6}}, reply))
	require.True(t, hub.Evacuated.Blocks("d"))
	require.Equal(t, []string{"d"}, reply.Vouch.Evacuation.Domains)
	require.NoError(t, (&service{hub}).Sync(SyncArgs{Host: "old"}, reply), "an older build")
	require.True(t, hub.Evacuated.Blocks("d"))
}

// The configuration of a peer of an older build must still be put in force.
func TestConfigurationOfOlderBuildIsTaken(t *testing.T) {
	e := newConfirmedExchange(t)
	require.False(t, e.confirms(Confirmation{Revision: 5, Version: 1, Raw: []byte("x")}))
	require.EqualValues(t, 5, e.Policy.Current().Revision)
}

// In deployments without evacuations, messages and confirmations must be as before.
func TestConfirmationWithoutEvacuationsIsAsBefore(t *testing.T) {
	peer, e := newConfirmedExchange(t), newConfirmedExchange(t)
	peer.Evacuated, e.Evacuated = nil, nil
	c := peer.confirmation(policy.Stamp{}, true)
	require.Equal(t, evacuation.Snapshot{}, c.Evacuation)
	require.True(t, e.confirms(c))
}

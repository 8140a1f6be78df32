package peers

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/edge/policy"
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
	_, ok := e.applyConfirmation("peer", bootclock.Now(), &c)
	return ok
}

// A host took the confirmation of an older build, which knows the configuration only, for one of the
// evacuated domains, and went on sending there.
func TestConfirmationCountsOnlyWithTheEvacuatedDomains(t *testing.T) {
	peer, e := newConfirmedExchange(t), newConfirmedExchange(t)
	require.False(t, e.confirms(peer.confirmation(policy.Stamp{})), "the peer has just started and knows none")
	peer.Evacuated.Replace([]string{"a"}, 7, true, "test")
	require.True(t, e.confirms(peer.confirmation(policy.Stamp{})))
	require.True(t, e.Evacuated.Blocks("a"), "in force before the confirmation counts")
	require.False(t, e.Evacuated.Blocks("b"))
	e.Evacuated.Replace(nil, 8, true, "test")
	require.True(t, e.confirms(peer.confirmation(policy.Stamp{})))
	require.False(t, e.Evacuated.Blocks("a"), "this host's state is newer")
	older := peer.confirmation(policy.Stamp{})
	older.Evacuation = evacuation.Snapshot{}
	require.False(t, e.confirms(older), "an older build")
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
	c := peer.confirmation(policy.Stamp{})
	require.Equal(t, evacuation.Snapshot{}, c.Evacuation)
	require.True(t, e.confirms(c))
}

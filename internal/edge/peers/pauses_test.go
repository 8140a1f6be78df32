package peers

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetnotice"
)

// Hosts of builds that state no pauses and hosts that do must read each other's messages.
func TestSyncsAreReadByBuildsWithoutPauses(t *testing.T) {
	type older struct {
		Host    string
		Limits  []targetnotice.LimitNotice
		Leaving []string
	}
	pass := func(from, to any) {
		var wire bytes.Buffer
		require.NoError(t, gob.NewEncoder(&wire).Encode(from))
		require.NoError(t, gob.NewDecoder(&wire).Decode(to))
	}
	limits, pauses := []targetnotice.LimitNotice{{Incarnation: "a@1"}}, []targetnotice.PauseNotice{{Target: 7, Millis: 900, Relayed: true}}
	var old older
	pass(SyncArgs{Host: "h", Limits: limits, Pauses: pauses}, &old)
	require.Equal(t, older{Host: "h", Limits: limits}, old)
	var args SyncArgs
	pass(older{Host: "h", Limits: limits}, &args)
	require.Equal(t, SyncArgs{Host: "h", Limits: limits}, args)
	var reply SyncReply
	pass(older{Limits: limits, Leaving: []string{"a@1"}}, &reply)
	require.Equal(t, SyncReply{Limits: limits, Leaving: []string{"a@1"}}, reply)
}

// What a sync carries is charged by the byte.
func TestPauseNoticeIsSmall(t *testing.T) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	require.NoError(t, encoder.Encode(SyncArgs{Host: "h"})) // with the types, once for each connection
	size := func(notices int) int {
		before := stream.Len()
		args := SyncArgs{Host: "h"}
		for range notices {
			args.Pauses = append(args.Pauses, targetnotice.PauseNotice{Target: 1<<32 - 1, Millis: 4000, Relayed: true})
		}
		require.NoError(t, encoder.Encode(args))
		return stream.Len() - before
	}
	none, some := size(0), size(10)
	t.Logf("sync of %d bytes, %d with 10 pauses", none, some)
	require.LessOrEqual(t, some-none, 150)
}

package directory

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
)

func TestFirstRegistrationWinsUntilItExpires(t *testing.T) {
	d := New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key := control.DirectoryKey{Account: "a", RequestID: "r"}
	entry := control.DirectoryEntry{Account: "a", RequestID: "r", Generation: "g1", BodyHash: 1, Expires: now.Add(time.Minute)}
	first, err := d.Register(now, entry)
	require.NoError(t, err)
	require.True(t, first.Won)

	second := entry
	second.Generation, second.BodyHash = "g2", 2
	reply, err := d.Register(now, second)
	require.NoError(t, err)
	require.False(t, reply.Won)
	require.Equal(t, entry, reply.Entry, "the first entry is unchanged, including its body hash")
	again, err := d.Register(now, entry)
	require.NoError(t, err)
	require.True(t, again.Won, "registering the same generation again is idempotent")

	require.True(t, d.Lookup(now, key).Found)
	require.False(t, d.Lookup(now, control.DirectoryKey{Account: "b", RequestID: "r"}).Found)
	later := now.Add(time.Minute)
	require.False(t, d.Lookup(later, key).Found)
	second.Expires = later.Add(24 * time.Hour)
	reply, err = d.Register(later, second)
	require.NoError(t, err)
	require.True(t, reply.Won)
	require.Equal(t, later.Add(maxTTL), reply.Entry.Expires)
}

func TestInvalidEntriesAreRejected(t *testing.T) {
	for _, entry := range []control.DirectoryEntry{
		{RequestID: "r", Generation: "g"},
		{Account: "a", Generation: "g"},
		{Account: "a", RequestID: "r"},
		{Account: "a", RequestID: strings.Repeat("x", maxNameBytes+1), Generation: "g"},
	} {
		_, err := New().Register(time.Now(), entry)
		require.ErrorIs(t, err, ErrInvalidEntry)
	}
}

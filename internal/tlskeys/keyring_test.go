package tlskeys

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func key(t *testing.T, id uint32) Key {
	k, err := NewKey(id)
	require.NoError(t, err)
	return k
}

func TestKeysAreReplacedWithoutARestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys")
	first, second := key(t, 1), key(t, 2)
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("# resume tokens\n" + first.Line() + "\n")
	var log bytes.Buffer
	ring, err := OpenKeyRing(KeyRingSettings{ResumeKeys: file, ResumeKeysReload: time.Hour}, slog.New(slog.NewTextHandler(&log, nil)))
	require.NoError(t, err)
	id, signature := ring.Sign([]byte("token"))
	require.EqualValues(t, 1, id)

	write(second.Line() + "\n" + first.Line() + "\n")
	ring.look()
	newID, newSignature := ring.Sign([]byte("token"))
	require.EqualValues(t, 2, newID)
	require.True(t, ring.Verify(id, []byte("token"), signature), "older tokens still verify")
	require.True(t, ring.Verify(newID, []byte("token"), newSignature))
	require.False(t, ring.Verify(newID, []byte("token"), signature))
	require.False(t, ring.Verify(newID, []byte("tokem"), newSignature))
	require.False(t, ring.Verify(9, []byte("token"), signature))

	for _, broken := range []string{"", second.Line(), second.Line()[:20] + "\n", "x " + second.Line() + "\n",
		second.Line() + "\n" + second.Line() + "\n", "5000000000 00\n"} {
		write(broken)
		ring.look()
		require.True(t, ring.Verify(id, []byte("token"), signature), broken)
	}
	require.NoError(t, os.Remove(file))
	ring.look()
	ring.look()
	require.Equal(t, 1, bytes.Count(log.Bytes(), []byte("cannot be read")))

	write(second.Line() + "\n")
	ring.look()
	require.False(t, ring.Verify(id, []byte("token"), signature), "a removed key verifies nothing")
	require.True(t, ring.Verify(newID, []byte("token"), newSignature))
	require.NotContains(t, log.String(), second.Line()[2:], "no secret in the log")
}

func TestKeyRingWithoutAFile(t *testing.T) {
	ring, err := OpenKeyRing(KeyRingSettings{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	id, signature := ring.Sign([]byte("x"))
	require.True(t, ring.Verify(id, []byte("x"), signature))
	_, err = OpenKeyRing(KeyRingSettings{ResumeKeys: "nowhere"}, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "--resume-keys")
}

func TestKeysHideTheirSecrets(t *testing.T) {
	k := key(t, 7)
	require.Equal(t, "key 7 key 7 key 7", fmt.Sprintf("%v %+v %#v", k, k, k))
	ring := NewKeyRing(k, key(t, 8))
	id, _ := ring.Sign(nil)
	require.EqualValues(t, 7, id)
}

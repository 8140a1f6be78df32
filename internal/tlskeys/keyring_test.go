package tlskeys

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/resumetoken"
)

func keyLine(t *testing.T, id string) string {
	line, err := NewKeyLine(id)
	require.NoError(t, err)
	return line
}

func sign(r *ReloadingKeyring) string {
	token := resumetoken.Token{Account: "a", Expires: time.Now().Add(time.Hour)}
	return string(r.Current().NewSigner(token).Append(nil, 3))
}

func verifies(r *ReloadingKeyring, text string) bool {
	_, err := r.Current().Verify(text, "a", time.Now())
	return err == nil
}

func TestKeyRotationWithoutRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys")
	first, second := keyLine(t, "k1"), keyLine(t, "k2")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("# resume tokens\n" + first + "\n")
	var log bytes.Buffer
	settings := KeyringSettings{TokenKeysFile: file, TokenKeysReload: time.Hour}
	ring, err := OpenKeyring(settings, nil, slog.New(slog.NewTextHandler(&log, nil)))
	require.NoError(t, err)
	older := sign(ring)

	write(second + "\n" + first + "\n")
	ring.reloadIfChanged()
	newer := sign(ring)
	require.True(t, verifies(ring, older), "tokens signed with the older key still verify")
	require.True(t, verifies(ring, newer))

	for _, broken := range []string{"", second, second[:20] + "\n", "x " + second + "\n", second[3:] + "\n", second + "\n" + second + "\n"} {
		write(broken)
		ring.reloadIfChanged()
		require.True(t, verifies(ring, older), broken)
	}
	require.NoError(t, os.Remove(file))
	ring.reloadIfChanged()
	ring.reloadIfChanged()
	require.Equal(t, 1, bytes.Count(log.Bytes(), []byte("cannot be read")))

	write(second + "\n")
	ring.reloadIfChanged()
	require.False(t, verifies(ring, older), "tokens signed with a removed key are rejected")
	require.True(t, verifies(ring, newer))
	require.NotContains(t, log.String(), second[3:], "no secret in the log")
}

func TestKeyringWithoutFile(t *testing.T) {
	ring, err := OpenKeyring(KeyringSettings{}, []string{keyLine(t, "k1")}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.True(t, verifies(ring, sign(ring)))
	_, err = OpenKeyring(KeyringSettings{}, nil, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "--token-keys-file or --token-keys")
	_, err = OpenKeyring(KeyringSettings{TokenKeysFile: "nowhere"}, nil, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "--token-keys-file")
	_, err = NewKeyLine("an id that is far too long")
	require.ErrorIs(t, err, resumetoken.ErrInvalidKeys)
}

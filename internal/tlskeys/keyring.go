package tlskeys

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/resumetoken"
)

// KeyringSettings configure the file with the keys of resume tokens.
type KeyringSettings struct {
	TokenKeysFile   string        `flag:"token-keys-file" usage:"file with keys of resume tokens, one id:hex a line, the signing one first, the same on all gateways; replaces --token-keys"`
	TokenKeysReload time.Duration `flag:"token-keys-reload" default:"2s" usage:"time between looks at --token-keys-file for a change" validate:"min=10ms"`
}

// ReloadingKeyring holds the keys of resume tokens and reloads them when their file
// changes. It is safe for concurrent use.
//
// To rotate a key on a running fleet, add the new key below the old one on all
// hosts, then move it to the top on all hosts, and remove the old key after its
// tokens have expired.
type ReloadingKeyring struct {
	settings   KeyringSettings
	log        *slog.Logger
	keys       atomic.Pointer[resumetoken.Keyring]
	lastText   string // last contents that were read; used only by Watch
	unreadable bool   // the last read failed; used only by Watch
}

// OpenKeyring loads the keys from s.TokenKeysFile, or uses staticKeys, each of the form
// "id:hex", if no file is set. Nothing reloads the file until Watch runs.
func OpenKeyring(s KeyringSettings, staticKeys []string, log *slog.Logger) (*ReloadingKeyring, error) {
	r := &ReloadingKeyring{settings: s, log: logging.WithPrefix(log, "keyring")}
	if s.TokenKeysFile == "" {
		keys, err := resumetoken.ParseKeys(staticKeys)
		if err != nil {
			return nil, eris.Wrap(err, "set --token-keys-file or --token-keys")
		}
		r.keys.Store(keys)
		return r, nil
	}
	text, err := os.ReadFile(s.TokenKeysFile)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read --token-keys-file; check that the file exists and is readable")
	}
	keys, err := parseKeyFile(string(text))
	if err != nil {
		return nil, eris.Wrap(err, "--token-keys-file is invalid")
	}
	r.lastText = string(text)
	r.keys.Store(keys)
	return r, nil
}

// Current returns the current keys. Call it again for each stream or token instead of
// keeping the result, so that rotated keys take effect.
func (r *ReloadingKeyring) Current() *resumetoken.Keyring { return r.keys.Load() }

// Watch checks the file for changes periodically, and whenever reload receives, and
// returns when ctx ends.
func (r *ReloadingKeyring) Watch(ctx context.Context, reload <-chan struct{}) {
	if r.settings.TokenKeysFile == "" {
		<-ctx.Done()
		return
	}
	watch(ctx, r.settings.TokenKeysReload, reload, r.reloadIfChanged)
}

// reloadIfChanged loads the file if it has changed. An invalid file leaves the current
// keys in use and is logged once per change.
func (r *ReloadingKeyring) reloadIfChanged() {
	text, err := os.ReadFile(r.settings.TokenKeysFile)
	if err != nil {
		if !r.unreadable {
			r.log.Error("key file cannot be read; the previous keys stay in use; restore the file", "error", err)
		}
		r.unreadable = true
		return
	}
	r.unreadable = false
	if string(text) == r.lastText {
		return
	}
	r.lastText = string(text)
	keys, err := parseKeyFile(r.lastText)
	if err != nil {
		r.log.Error("new key file is rejected; the previous keys stay in use; replace the file", "error", err)
		return
	}
	r.keys.Store(keys)
	r.log.Info("key file reloaded")
}

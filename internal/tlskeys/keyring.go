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

// KeyRingSettings name the file with the keys of resume tokens.
type KeyringSettings struct {
	TokenKeysFile   string        `flag:"token-keys-file" usage:"file with keys of resume tokens, one id:hex a line, the signing one first, the same on all gateways; replaces --token-keys"`
	TokenKeysReload time.Duration `flag:"token-keys-reload" default:"2s" usage:"time between looks at --token-keys-file for a change" validate:"min=10ms"`
}

// KeyRing holds the keys of resume tokens and takes up a changed file. It is
// safe for concurrent use.
//
// To replace a key on a running fleet, add the new one below the old one on all
// hosts, then move it to the top on all, and remove the old one when its tokens
// have expired.
type ReloadingKeyring struct {
	settings KeyringSettings
	log      *slog.Logger
	keys     atomic.Pointer[resumetoken.Keyring]
	seen     string // last text that was looked at; used by the watcher only
	lost     bool   // the file could not be read; used by the watcher only
}

// OpenKeyRing loads the keys from the file of the settings, or else takes the
// fixed ones, each "id:hex".
func OpenKeyring(s KeyringSettings, fixed []string, log *slog.Logger) (*ReloadingKeyring, error) {
	r := &ReloadingKeyring{settings: s, log: logging.WithPrefix(log, "keyring")}
	if s.TokenKeysFile == "" {
		keys, err := resumetoken.ParseKeys(fixed)
		if err != nil {
			return nil, eris.Wrap(err, "set --token-keys-file or --token-keys")
		}
		r.keys.Store(keys)
		return r, nil
	}
	text, err := os.ReadFile(s.TokenKeysFile)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read --token-keys-file; check that the file is there and readable")
	}
	keys, err := parseKeyFile(string(text))
	if err != nil {
		return nil, eris.Wrap(err, "--token-keys-file is broken")
	}
	r.seen = string(text)
	r.keys.Store(keys)
	return r, nil
}

// Current returns the keys in force. Ask again for each stream and token.
func (r *ReloadingKeyring) Current() *resumetoken.Keyring { return r.keys.Load() }

// Watch looks at the file again and again until ctx ends, and at once when
// reload receives. The caller owns the goroutine that runs it.
func (r *ReloadingKeyring) Watch(ctx context.Context, reload <-chan struct{}) {
	if r.settings.TokenKeysFile == "" {
		<-ctx.Done()
		return
	}
	watch(ctx, r.settings.TokenKeysReload, reload, r.look)
}

// look takes up a changed file. Each change is judged once.
func (r *ReloadingKeyring) look() {
	text, err := os.ReadFile(r.settings.TokenKeysFile)
	if err != nil {
		if !r.lost {
			r.log.Error("key file cannot be read, the old keys stay in force; restore it", "error", err)
		}
		r.lost = true
		return
	}
	r.lost = false
	if string(text) == r.seen {
		return
	}
	r.seen = string(text)
	keys, err := parseKeyFile(r.seen)
	if err != nil {
		r.log.Error("new key file is refused, the old keys stay in force; replace it", "error", err)
		return
	}
	r.keys.Store(keys)
	r.log.Info("new keys are in force")
}

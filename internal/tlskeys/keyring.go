package tlskeys

import (
	"context"
	"crypto/hmac"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/logging"
)

// KeyRingSettings name the file with the keys of resume tokens.
type KeyRingSettings struct {
	ResumeKeys       string        `flag:"resume-keys" usage:"file with the keys of resume tokens, the signing one first; the same on all hosts; empty means a random key, with which no other host resumes"`
	ResumeKeysReload time.Duration `flag:"resume-keys-reload" default:"2s" usage:"time between looks at the file for a change" validate:"min=10ms"`
}

// KeyRing holds the keys of resume tokens: the first signs, all verify. It is
// safe for concurrent use.
//
// To replace a key on a running fleet, add the new one below the old one on all
// hosts, then move it to the top, and remove the old one when its tokens have
// expired.
type KeyRing struct {
	settings KeyRingSettings
	log      *slog.Logger
	keys     atomic.Pointer[[]Key]
	seen     string // last text that was looked at; used by the watcher only
	lost     bool   // the file could not be read; used by the watcher only
}

// NewKeyRing returns a ring of fixed keys, the signing one first.
func NewKeyRing(signing Key, older ...Key) *KeyRing {
	r := &KeyRing{log: logging.Discard()}
	r.store(append([]Key{signing}, older...))
	return r
}

// OpenKeyRing loads the keys. Without a file it makes a random one.
func OpenKeyRing(s KeyRingSettings, log *slog.Logger) (*KeyRing, error) {
	r := &KeyRing{settings: s, log: logging.Part(log, "keyring")}
	if s.ResumeKeys == "" {
		k, err := NewKey(1)
		if err != nil {
			return nil, err
		}
		r.log.Warn("resume tokens work on this gateway only; set --resume-keys")
		r.store([]Key{k})
		return r, nil
	}
	text, err := os.ReadFile(s.ResumeKeys)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read --resume-keys; check that the file is there and readable")
	}
	keys, err := parseKeys(string(text))
	if err != nil {
		return nil, eris.Wrap(err, "--resume-keys is broken")
	}
	r.seen = string(text)
	r.store(keys)
	return r, nil
}

// Watch looks at the file again and again until ctx ends. The caller owns the
// goroutine that runs it.
func (r *KeyRing) Watch(ctx context.Context, reload <-chan struct{}) {
	if r.settings.ResumeKeys == "" {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(r.settings.ResumeKeysReload)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		r.look()
	}
}

// look takes up a changed file. Each change is judged once.
func (r *KeyRing) look() {
	text, err := os.ReadFile(r.settings.ResumeKeys)
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
	keys, err := parseKeys(r.seen)
	if err != nil {
		r.log.Error("new key file is refused, the old keys stay in force; replace it", "error", err)
		return
	}
	r.store(keys)
	r.log.Info("new keys are in force", "signing", keys[0].ID, "keys", len(keys))
}

// Sign returns the id of the signing key and its signature of a message.
func (r *KeyRing) Sign(message []byte) (id uint32, signature []byte) {
	signing := (*r.keys.Load())[0]
	return signing.ID, signing.Sign(message)
}

// Verify tells whether the key with the id made the signature of a message. It
// takes the same time for all wrong signatures.
func (r *KeyRing) Verify(id uint32, message, signature []byte) bool {
	for _, k := range *r.keys.Load() {
		if k.ID == id {
			return hmac.Equal(signature, k.Sign(message))
		}
	}
	return false
}

func (r *KeyRing) store(keys []Key) { r.keys.Store(&keys) }

package resumetoken

import (
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"
)

// minKeyBytes is the minimum length of a secret, in bytes.
const minKeyBytes = 16

// ErrInvalidKeys is returned for an invalid key list.
var ErrInvalidKeys = eris.New("resumetoken: keys must be written as id:hex with at least 16 bytes of hex; ids must differ and have 1 to 16 characters")

// signingKey is one secret with its public id.
type signingKey struct {
	id     string
	secret []byte
}

// Keyring signs tokens with its first key and verifies them with all of them, so that
// keys can be rotated while older tokens stay valid. It is safe for concurrent use.
type Keyring struct{ keys []signingKey }

// maxKeyID bounds the id of a key, in bytes.
const maxKeyID = 16

// ParseKeys parses keys in the form "id:hex", of which the first one signs. Errors are
// ErrInvalidKeys.
func ParseKeys(list []string) (*Keyring, error) {
	ring := &Keyring{}
	for _, item := range list {
		id, text, ok := strings.Cut(strings.TrimSpace(item), ":")
		secret, err := hex.DecodeString(text)
		if !ok || err != nil || len(secret) < minKeyBytes || id == "" || len(id) > maxKeyID || ring.find(id) != nil {
			return nil, eris.Wrapf(ErrInvalidKeys, "key with the id %q", id)
		}
		ring.keys = append(ring.keys, signingKey{id: id, secret: secret})
	}
	if len(ring.keys) == 0 {
		return nil, eris.Wrap(ErrInvalidKeys, "no key is given")
	}
	return ring, nil
}

// find returns the key with the id, or nil.
func (r *Keyring) find(id string) *signingKey {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

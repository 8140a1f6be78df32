package resumetoken

import (
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"
)

// minKeyBytes is the shortest secret that a key may have.
const minKeyBytes = 16

// ErrKeys is returned for a bad key list.
var ErrInvalidKeys = eris.New("resumetoken: keys must be written as id:hex with at least 16 bytes of hex; ids must differ and have 1 to 16 characters")

// key is one secret with its public id.
type key struct {
	id     string
	secret []byte
}

// Keyring signs with its first key and accepts all of them, so that keys can be
// rotated without a break.
type Keyring struct{ keys []key }

// maxKeyID bounds the id of a key, in bytes.
const maxKeyID = 16

// ParseKeys reads keys in the form "id:hex". The first one signs.
func ParseKeys(list []string) (*Keyring, error) {
	ring := &Keyring{}
	for _, item := range list {
		id, text, ok := strings.Cut(strings.TrimSpace(item), ":")
		secret, err := hex.DecodeString(text)
		if !ok || err != nil || len(secret) < minKeyBytes || id == "" || len(id) > maxKeyID || ring.find(id) != nil {
			return nil, eris.Wrapf(ErrInvalidKeys, "key with the id %q", id)
		}
		ring.keys = append(ring.keys, key{id: id, secret: secret})
	}
	if len(ring.keys) == 0 {
		return nil, eris.Wrap(ErrInvalidKeys, "no key is given")
	}
	return ring, nil
}

func (r *Keyring) find(id string) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

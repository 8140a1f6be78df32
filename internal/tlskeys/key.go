package tlskeys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// SecretBytes is the length of a key's secret.
const SecretBytes = 32

// Key signs resume tokens. Its id stands in the token, so that a gateway finds
// the key again after the next one was added.
type Key struct {
	ID     uint32
	Secret [SecretBytes]byte
}

// NewKey returns a key with a random secret.
func NewKey(id uint32) (Key, error) {
	k := Key{ID: id}
	_, err := rand.Read(k.Secret[:])
	return k, eris.Wrap(err, "no random bytes for a key")
}

// Line returns the key as a line of a key file: "<id> <64 hex digits>".
func (k Key) Line() string { return fmt.Sprintf("%d %s", k.ID, hex.EncodeToString(k.Secret[:])) }

// String hides the secret.
func (k Key) String() string { return fmt.Sprintf("key %d", k.ID) }

// GoString hides the secret.
func (k Key) GoString() string { return k.String() }

// Sign returns the HMAC-SHA256 of a message.
func (k Key) Sign(message []byte) []byte {
	h := hmac.New(sha256.New, k.Secret[:])
	h.Write(message) // never fails
	return h.Sum(nil)
}

// parseKeys reads a key file: one key a line, the signing one first, older ones
// after it. Empty lines and lines that start with # are skipped.
func parseKeys(text string) ([]Key, error) {
	var keys []Key
	seen := make(map[uint32]bool)
	if text != "" && !strings.HasSuffix(text, "\n") {
		return nil, eris.New("the key file does not end with a line break; write the file whole")
	}
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := parseKey(line)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d of the key file", number+1)
		}
		if seen[k.ID] {
			return nil, eris.Errorf("line %d of the key file has the id %d of another key; give each key its own id", number+1, k.ID)
		}
		seen[k.ID] = true
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, eris.New("the key file holds no key; make one with hitchctl key resume")
	}
	return keys, nil
}

func parseKey(line string) (Key, error) {
	const remedy = `write "<id> <64 hex digits>", as printed by hitchctl key resume`
	id, digits, _ := strings.Cut(line, " ")
	number, err := strconv.ParseUint(id, 10, 32)
	if err != nil {
		return Key{}, eris.New("has no numeric id; " + remedy)
	}
	secret, err := hex.DecodeString(strings.TrimSpace(digits))
	if err != nil || len(secret) != SecretBytes {
		return Key{}, eris.New("has a broken secret; " + remedy)
	}
	k := Key{ID: uint32(number)}
	copy(k.Secret[:], secret)
	return k, nil
}

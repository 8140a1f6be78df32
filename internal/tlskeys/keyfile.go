package tlskeys

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/resumetoken"
)

// secretBytes is the length of the secrets that NewKeyLine generates.
const secretBytes = 32

// NewKeyLine returns a new key with a random secret as a line for a key file, without
// the line break. It returns an error that wraps resumetoken.ErrInvalidKeys if id is
// not a valid key id.
func NewKeyLine(id string) (string, error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", eris.Wrap(err, "read random bytes for a key")
	}
	line := id + ":" + hex.EncodeToString(secret[:])
	_, err := resumetoken.ParseKeys([]string{line})
	return line, err
}

// parseKeyFile parses a key file: one key per line as "id:hex", the signing key first.
// Empty lines and lines that start with # are skipped. Errors don't quote the
// contents of a line, because it may contain a secret.
func parseKeyFile(text string) (*resumetoken.Keyring, error) {
	if text != "" && !strings.HasSuffix(text, "\n") {
		return nil, eris.New("the key file does not end with a line break; write the complete file")
	}
	var keys []string
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if !strings.Contains(line, ":") || strings.ContainsAny(line, " \t") {
			return nil, eris.Errorf("line %d of the key file is not of the form id:hex; create a key with hitchctl key resume", number)
		}
		keys = append(keys, line)
	}
	return resumetoken.ParseKeys(keys)
}

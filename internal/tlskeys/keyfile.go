package tlskeys

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/resumetoken"
)

// secretBytes is the length of the secrets that NewKeyLine makes.
const secretBytes = 32

// NewKeyLine returns a key with a random secret as a line of a key file.
func NewKeyLine(id string) (string, error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", eris.Wrap(err, "no random bytes for a key")
	}
	line := id + ":" + hex.EncodeToString(secret[:])
	_, err := resumetoken.ParseKeys([]string{line})
	return line, err
}

// parseKeyFile reads a key file: one key "id:hex" a line, the signing one first.
// Empty lines and lines that start with # are skipped. Errors do not show what
// stands in a line, because it may be a secret.
func parseKeyFile(text string) (*resumetoken.Keyring, error) {
	if text != "" && !strings.HasSuffix(text, "\n") {
		return nil, eris.New("the key file does not end with a line break; write the file whole")
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
			return nil, eris.Errorf("line %d of the key file is no id:hex; make one with hitchctl key resume", number)
		}
		keys = append(keys, line)
	}
	return resumetoken.ParseKeys(keys)
}

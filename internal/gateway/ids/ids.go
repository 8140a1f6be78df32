// Package ids makes random ids of generations, tickets and attempts.
package ids

import (
	"crypto/rand"
	"encoding/hex"
)

// idBytes is the length of an id. 128 random bits make collisions between hosts
// practically impossible.
const idBytes = 16

// New returns a random id of 2*idBytes hex digits.
func New() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

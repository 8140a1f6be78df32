// Package ids makes the random names of generations, tickets and attempts.
package ids

import (
	"crypto/rand"
	"encoding/hex"
)

// idBytes makes collisions between all hosts improbable for good.
const idBytes = 16

// New returns a random id.
func New() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

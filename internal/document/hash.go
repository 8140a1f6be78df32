package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// hashPrefix names the algorithm of key hashes.
const hashPrefix = "sha256:"

// HashKey returns the hash of a client key in the form that documents use:
// "sha256:<hex>".
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

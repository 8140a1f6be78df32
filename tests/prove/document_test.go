package prove

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// API keys of the client accounts under test.
const (
	keyDesk    = "hk_desk-key-for-tests-only"
	keySkipper = "hk_skipper-key-for-tests-only"
)

// tokenKeys sign the resume tokens of all gateways under test.
const tokenKeys = "k1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// keyHash returns the hash by which documents name an API key.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// defaultDocument serves two accounts with version v1 of one model, and the
// booking service.
var defaultDocument = documentWith("v1")

// documentWith returns the default document with another model version.
func documentWith(version string) string {
	return strings.NewReplacer("{desk}", keyHash(keyDesk), "{skipper}", keyHash(keySkipper), "{version}", version).Replace(`
apiVersion: corianderhitch/v1
environment: production
objectives: {stallTime: 1, preemptions: 1, interTokenTail: 2}
models:
  - name: briefing
    versions: [v1, v2]
    adapters: [sk]
    maxTokens: 20000
    continueFromPrefix: true
accounts:
  - name: desk
    keyHashes: ["{desk}"]
    serves: [{model: briefing, version: {version}}]
    services: [booking]
  - name: skipper
    keyHashes: ["{skipper}"]
    serves: [{model: briefing, version: {version}, adapter: sk}, {model: briefing, version: {version}, class: late}]
    services: [booking]
services:
  - name: booking
    routes:
      - {path: /seat-holds, methods: [POST], idempotent: false, priority: 8}
      - {path: /availability, methods: [GET], idempotent: true, priority: 9}
`)
}

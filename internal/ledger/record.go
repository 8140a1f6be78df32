package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// keyRoot is the prefix of the ledger's keys in the store.
const keyRoot = "/corianderhitch/calls/"

// MaxStoredBody is the size of the largest answer body that is stored for resends,
// in bytes.
const MaxStoredBody = 64 << 10

// state is the state of a call's record.
type state string

const (
	// stateClaimed: the attempt may have been dispatched.
	stateClaimed state = "claimed"
	// stateNotRun: the attempt was not dispatched and never will be. The next
	// request may claim the call.
	stateNotRun state = "not-run"
	// stateDone: the attempt ran and its outcome is stored.
	stateDone state = "done"
)

// record is the stored value of a call's key.
type record struct {
	Attempt  string    `json:"attempt"`
	Host     string    `json:"host"`
	BodyHash string    `json:"body_hash"`
	State    state     `json:"state"`
	At       time.Time `json:"at"`
	Outcome  *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the answer of a target that ran a call. Body is empty if it was
// larger than MaxStoredBody; BodyBytes is its full size either way.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyBytes   int    `json:"body_bytes"`
}

// HasFullBody reports whether Body holds the whole body.
func (o Outcome) HasFullBody() bool { return o.BodyBytes == len(o.Body) }

// Call identifies a non-idempotent call.
type Call struct {
	Account  string
	Key      string // the caller's Idempotency-Key
	BodyHash string // hash of method, path and body; see BodyHash
}

// storeKey hashes the caller's key, which may contain any character.
func (c Call) storeKey() string {
	sum := sha256.Sum256([]byte(c.Key))
	return keyRoot + c.Account + "/" + hex.EncodeToString(sum[:16])
}

// BodyHash returns the hash that distinguishes a resend from a different request
// with the same key.
func BodyHash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, eris.Wrap(err, "ledger: record cannot be read; inspect the key in the store")
	}
	return r, nil
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record holds plain data only
	}
	return value
}

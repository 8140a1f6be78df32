package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// keyRoot precedes the records of the ledger in the store.
const keyRoot = "/corianderhitch/calls/"

// MaxKeptBody is the largest answer that is kept for resends, in bytes.
const MaxStoredBody = 64 << 10

// state is the state of a record.
type state string

const (
	// stateClaimed: the attempt may have been dispatched.
	stateClaimed state = "claimed"
	// stateNotRun: the attempt surely was not dispatched and never will be. The
	// next sender may claim.
	stateNotRun state = "not-run"
	// stateDone: the attempt ran and its outcome is kept.
	stateDone state = "done"
)

// record is the value of a call in the store.
type record struct {
	Attempt  string    `json:"attempt"`
	Host     string    `json:"host"`
	BodyHash string    `json:"body_hash"`
	State    state     `json:"state"`
	At       time.Time `json:"at"`
	Outcome  *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the answer of a target that ran a call. Body is empty if it was
// larger than MaxKeptBody; BodyBytes then tells its size.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyBytes   int    `json:"body_bytes"`
}

// Kept tells whether the whole body is there.
func (o Outcome) HasFullBody() bool { return o.BodyBytes == len(o.Body) }

// Call identifies a call that may not be repeated.
type Call struct {
	Account  string
	Key      string // the caller's Idempotency-Key
	BodyHash string // of method, path and body; see BodyHash
}

// storeKey hashes the caller's key, which may contain any character.
func (c Call) storeKey() string {
	sum := sha256.Sum256([]byte(c.Key))
	return keyRoot + c.Account + "/" + hex.EncodeToString(sum[:16])
}

// BodyHash returns the hash by which a resend is told from another request.
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

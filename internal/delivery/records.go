package delivery

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
)

const (
	// maxInline is the largest compressed answer that is stored in its record, in
	// bytes. Base64 in JSON adds a third.
	maxInline = 600 << 10
	// maxChunk is the size of the chunks of a larger answer, in bytes.
	maxChunk = 1 << 20
	// maxAnswerBytes bounds a decompressed answer.
	maxAnswerBytes = 64 << 20
)

// errUnreadableRecord means that a record in the store cannot be decoded.
var errUnreadableRecord = eris.New("delivery: record cannot be read; inspect the key in the store")

// pendingRecord is the stored form of an accepted late request. It exists until the
// answer is stored.
type pendingRecord struct {
	Account  string             `json:"account"`
	ID       string             `json:"id"`
	BodyHash uint64             `json:"body_hash"`
	Host     string             `json:"host"` // host that accepted the request and runs it
	Accepted time.Time          `json:"accepted"`
	Request  completion.Request `json:"request"`
}

func (p pendingRecord) ref() requestRef { return requestRef{Account: p.Account, ID: p.ID} }

// answerRecord is the stored form of a late answer. It is written once.
type answerRecord struct {
	State    completion.LateState `json:"state"`
	BodyHash uint64               `json:"body_hash"`
	Attempt  string               `json:"attempt"`
	Finished time.Time            `json:"finished"`
	Inline   []byte               `json:"inline,omitempty"` // response, gzip-compressed
	Chunks   int                  `json:"chunks,omitempty"` // number of chunks, if not inline
	Problem  *problem.Document    `json:"problem,omitempty"`
}

func encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // records hold plain data only
	}
	return value
}

func decode[T any](value []byte) (T, error) {
	var record T
	if err := json.Unmarshal(value, &record); err != nil {
		return record, eris.Wrap(errUnreadableRecord, err.Error())
	}
	return record, nil
}

func compress(body []byte) []byte {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	_, _ = w.Write(body) // writes to a bytes.Buffer never fail
	_ = w.Close()
	return compressed.Bytes()
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(errUnreadableRecord, err.Error())
	}
	body, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrap(errUnreadableRecord, err.Error())
	}
	if len(body) > maxAnswerBytes {
		return nil, eris.Wrapf(errUnreadableRecord, "the answer exceeds %d bytes", maxAnswerBytes)
	}
	return body, nil
}

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
	// maxInline is the largest compressed answer that is kept in its record.
	// Base64 in JSON adds a third.
	maxInline = 600 << 10
	// maxChunk is the size of the chunks of a larger one.
	maxChunk = 1 << 20
	// maxAnswerBytes bounds an unpacked answer.
	maxAnswerBytes = 64 << 20
)

// errRecord means that a record of the store cannot be used.
var errRecord = eris.New("delivery: record cannot be read; inspect the key in the store")

// pending is the record of an accepted draft. It exists until the answer does.
type pending struct {
	Account  string             `json:"account"`
	ID       string             `json:"id"`
	BodyHash uint64             `json:"body_hash"`
	Host     string             `json:"host"` // host that accepted and runs it
	Accepted time.Time          `json:"accepted"`
	Request  completion.Request `json:"request"`
}

func (p pending) draft() draftID { return draftID{Account: p.Account, ID: p.ID} }

// answer is the record of a finished draft. It is written once.
type answer struct {
	State    completion.LateState `json:"state"`
	BodyHash uint64               `json:"body_hash"`
	Attempt  string               `json:"attempt"`
	Finished time.Time            `json:"finished"`
	Inline   []byte               `json:"inline,omitempty"` // gzip of the response
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
		return record, eris.Wrap(errRecord, err.Error())
	}
	return record, nil
}

func pack(body []byte) []byte {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	_, _ = w.Write(body) // a buffer takes everything
	_ = w.Close()
	return packed.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(errRecord, err.Error())
	}
	body, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return nil, eris.Wrap(errRecord, err.Error())
	}
	return body, nil
}

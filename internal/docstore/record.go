package docstore

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// record is the store value of a revision. Its JSON has the fields of
// document.Accepted and more. The current record holds the document itself if
// it is small; the history entry never does.
type record struct {
	Revision   int64           `json:"revision"`
	Operator   string          `json:"operator"`
	Comment    string          `json:"comment,omitempty"`
	AcceptedAt time.Time       `json:"accepted_at"`
	Origin     string          `json:"origin,omitempty"`
	Attempt    string          `json:"attempt"`            // unique id of the call that wrote it
	Previous   link            `json:"previous,omitempty"` // record that this one replaced; zero for the first
	Body       bodyRef         `json:"body"`
	Document   json.RawMessage `json:"document,omitempty"` // canonical JSON
}

// link names the history entry of a revision.
type link struct {
	Revision int64  `json:"revision"`
	Attempt  string `json:"attempt"`
}

// maxInlineBytes is the largest document, in bytes of canonical JSON, that the
// current record holds itself, so that a host reads most documents in one call.
// It leaves half of the store's largest value for what encodings add.
const maxInlineBytes = 512 << 10

// encodeCurrent returns the value of the current record.
func encodeCurrent(r record, body []byte, inlineBytes int) ([]byte, error) {
	if r.Body.Bytes <= inlineBytes {
		r.Document = body
	}
	return encodeRecord(r)
}

// encodeHistory returns the value of the history entry.
func encodeHistory(r record) ([]byte, error) {
	r.Document = nil
	return encodeRecord(r)
}

func encodeRecord(r record) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, eris.Wrap(err, "cannot encode the record")
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, eris.Wrap(err, "the stored record is damaged; roll back to an earlier revision")
	}
	return r, nil
}

func (r record) link() link { return link{Revision: r.Revision, Attempt: r.Attempt} }

package docstore

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// record is the stored form of a revision. Its JSON has the fields of
// document.Accepted and more. The current record includes the document if it is at
// most maxInlineBytes long; history entries never do.
type record struct {
	Revision   int64           `json:"revision"`
	Operator   string          `json:"operator"`
	Comment    string          `json:"comment,omitempty"`
	AcceptedAt time.Time       `json:"accepted_at"`
	Origin     string          `json:"origin,omitempty"`
	Attempt    string          `json:"attempt"`            // unique id of the change that wrote it
	Previous   link            `json:"previous,omitempty"` // the replaced record; zero for the first
	Body       bodyRef         `json:"body"`
	Document   json.RawMessage `json:"document,omitempty"` // canonical JSON
}

// link refers to the history entry of an accepted revision.
type link struct {
	Revision int64  `json:"revision"`
	Attempt  string `json:"attempt"`
}

// maxInlineBytes is the size of the largest document, as canonical JSON, that the
// current record includes, so that a host reads most documents in one call. Half of
// platform.MaxValueBytes is left for encoding overhead.
const maxInlineBytes = 512 << 10

// encodeCurrent encodes the current record.
func encodeCurrent(r record, body []byte, inlineBytes int) ([]byte, error) {
	if r.Body.Bytes <= inlineBytes {
		r.Document = body
	}
	return encodeRecord(r)
}

// encodeHistory encodes the history entry.
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

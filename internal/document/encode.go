package document

import (
	"encoding/json"
	"fmt"
)

// Encode returns the canonical JSON of a document: normalized, fields in the
// order of the Go types, no white space. Equal documents give equal bytes.
func Encode(d Document) ([]byte, error) {
	body, err := json.Marshal(Normalize(d))
	if err != nil {
		return nil, fmt.Errorf("document: cannot encode; use finite numbers only: %w", err)
	}
	return body, nil
}

// Decode reads canonical JSON that Encode wrote, possibly in a later release:
// unknown fields are ignored.
func Decode(body []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return Document{}, fmt.Errorf("document: stored document is corrupt; roll back to an earlier revision: %w", err)
	}
	return d, nil
}

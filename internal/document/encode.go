package document

import (
	"encoding/json"
	"fmt"
)

// Encode returns the canonical JSON of a document: normalized, fields in the
// order of the types, no white space. Equal documents give equal bytes.
func Encode(d Document) ([]byte, error) {
	body, err := json.Marshal(Normalize(d))
	if err != nil {
		return nil, fmt.Errorf("document: cannot be encoded; use finite numbers only: %w", err)
	}
	return body, nil
}

// Decode reads canonical JSON that Encode wrote, also of a later release: fields
// that this release does not know are ignored.
func Decode(body []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return Document{}, fmt.Errorf("document: stored document is damaged; roll back to an earlier revision: %w", err)
	}
	return d, nil
}

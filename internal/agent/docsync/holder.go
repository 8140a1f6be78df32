// Package docsync distributes the configuration document in force to all hosts. Up to
// two hosts of each failure domain watch the store; the other hosts receive new
// revisions from peers.
package docsync

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
)

// ErrContentDiffers means that two hosts have different content for one revision, which
// the store's compare-and-swap should make impossible.
var ErrContentDiffers = eris.New("document: different contents for one revision; compare the store's history with hitchctl history and report a fault")

// Current is the document in force in this process. Content is its canonical JSON and
// must not be changed. Revision is 0 if there is no document.
type Current struct {
	Revision int64
	Hash     uint64
	Content  []byte
	Document *document.Document
}

// Holder holds the document with the highest revision seen so far. It is not safe for
// concurrent use.
type Holder struct {
	environment string
	current     Current
}

// NewHolder returns a Holder without a document that accepts only documents of the given
// environment.
func NewHolder(environment string) *Holder { return &Holder{environment: environment} }

// Current returns the document in force; its revision is 0 while there is none.
func (h *Holder) Current() Current { return h.current }

// ApplyIfNewer puts a document in force if its revision is higher than the current one,
// and reports whether it did. It returns an error if the content cannot be decoded,
// belongs to another environment or differs from that of the same revision.
func (h *Holder) ApplyIfNewer(revision int64, content []byte) (bool, error) {
	if revision < h.current.Revision || revision <= 0 || len(content) == 0 {
		return false, nil
	}
	hash := xxhash.Sum64(content)
	if revision == h.current.Revision {
		if hash != h.current.Hash {
			return false, ErrContentDiffers
		}
		return false, nil
	}
	parsed, err := document.Decode(content)
	if err != nil {
		return false, eris.Wrapf(err, "document: revision %d cannot be read; apply a corrected document", revision)
	}
	if parsed.Environment != "" && parsed.Environment != h.environment {
		return false, eris.Errorf("document: revision %d is for environment %q, not %q; check --environment of all hosts",
			revision, parsed.Environment, h.environment)
	}
	h.current = Current{Revision: revision, Hash: hash, Content: content, Document: &parsed}
	return true, nil
}

// Check returns ErrContentDiffers if a peer reports the current revision with another
// content hash.
func (h *Holder) Check(revision int64, hash uint64) error {
	if revision == h.current.Revision && revision > 0 && hash != 0 && hash != h.current.Hash {
		return ErrContentDiffers
	}
	return nil
}

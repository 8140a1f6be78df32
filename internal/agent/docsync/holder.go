// Package docsync brings the document in force to every host. One or two hosts
// of each failure domain watch the store; the others learn of a new revision
// from peers and fetch it from them.
package docsync

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"corianderhitch/internal/document"
)

// ErrContentDiffers means that two copies of one revision are not equal, which
// the store's compare-and-swap excludes.
var ErrContentDiffers = eris.New("document: two contents of one revision; compare the store's history with hitchctl history and report a fault")

// Held is the document in force in this process. Content is its canonical JSON
// and must not be changed.
type Current struct {
	Revision int64
	Hash     uint64
	Content  []byte
	Document *document.Document
}

// Holder keeps the document of the highest revision that it was offered. It is
// not safe for concurrent use.
type Holder struct {
	environment string
	held        Current
}

// NewHolder returns a Holder for the documents of an environment.
func NewHolder(environment string) *Holder { return &Holder{environment: environment} }

// Held returns the document in force; its revision is 0 while there is none.
func (h *Holder) Current() Current { return h.held }

// Offer takes a document and tells whether it is in force from now on. A lower
// or equal revision never is.
func (h *Holder) ApplyIfNewer(revision int64, content []byte) (bool, error) {
	if revision < h.held.Revision || revision <= 0 || len(content) == 0 {
		return false, nil
	}
	hash := xxhash.Sum64(content)
	if revision == h.held.Revision {
		if hash != h.held.Hash {
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
	h.held = Current{Revision: revision, Hash: hash, Content: content, Document: &parsed}
	return true, nil
}

// Check compares what a peer says of its document with the one in force.
func (h *Holder) Check(revision int64, hash uint64) error {
	if revision == h.held.Revision && revision > 0 && hash != 0 && hash != h.held.Hash {
		return ErrContentDiffers
	}
	return nil
}

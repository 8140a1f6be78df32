package policy

import (
	"sync"
	"sync/atomic"
)

// Accepted is a configuration with the store revision that it was written at.
type Snapshot struct {
	*Configuration
	Revision int64
	Raw      []byte // as stored, for peers that cannot reach the store
}

// Holder keeps the configuration in force. It never steps back to an older
// revision. It is safe for concurrent use.
type Holder struct {
	decode  func([]byte) (*Configuration, error)
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // serializes Offer
}

// NewHolder returns an empty holder that reads configurations with decode.
func NewHolder(decode func([]byte) (*Configuration, error)) *Holder { return &Holder{decode: decode} }

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Offer puts a configuration in force if its revision is newer, and tells
// whether it did.
func (h *Holder) ApplyIfNewer(raw []byte, revision int64) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.current.Load(); now != nil && now.Revision >= revision {
		return false, nil
	}
	c, err := h.decode(raw)
	if err != nil {
		return false, err
	}
	h.current.Store(&Snapshot{Configuration: c, Revision: revision, Raw: raw})
	return true, nil
}

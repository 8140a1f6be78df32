package policy

import (
	"sync"
	"sync/atomic"
)

// Snapshot is a configuration with the store revision that it was written at.
type Snapshot struct {
	*Configuration
	Revision int64
	Raw      []byte // as stored, for hosts that cannot reach the store
}

// Holder holds the configuration in force. It never goes back to an older revision.
// It is safe for concurrent use.
type Holder struct {
	decode  func([]byte) (*Configuration, error)
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // serializes ApplyIfNewer
}

// NewHolder returns an empty holder that parses configurations with decode.
func NewHolder(decode func([]byte) (*Configuration, error)) *Holder { return &Holder{decode: decode} }

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// ApplyIfNewer puts a configuration in force if its revision is newer, and reports
// whether it did. If raw cannot be decoded, the current configuration stays in force.
func (h *Holder) ApplyIfNewer(raw []byte, revision int64) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && current.Revision >= revision {
		return false, nil
	}
	c, err := h.decode(raw)
	if err != nil {
		return false, err
	}
	h.current.Store(&Snapshot{Configuration: c, Revision: revision, Raw: raw})
	return true, nil
}

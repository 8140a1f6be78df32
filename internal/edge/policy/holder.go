package policy

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/packed"
	"corianderhitch/internal/platform"
)

// ErrOlderVersion is returned for a configuration that an earlier era of the store had
// already replaced by a newer version.
var ErrOlderVersion = eris.New("policy: the store holds an older version than the one in force; it was restored from a copy and the operator has not written the newer one again yet")

// Stamp tells which of two configurations is newer. The zero value stands for none.
type Stamp struct {
	Version  int64
	Revision platform.Revision
}

// NewerThan reports whether s replaces o. Within an era the store's revision decides. A
// restored store gives older configurations new revisions, so that across eras only the
// version says which one is newer.
func (s Stamp) NewerThan(o Stamp) bool {
	switch {
	case o == Stamp{}:
		return s != Stamp{}
	case s.Revision.Era() == o.Revision.Era():
		return s.Revision > o.Revision
	default:
		return s.Version > o.Version
	}
}

// Snapshot is a configuration with the store revision that it was written at.
type Snapshot struct {
	*Configuration
	Revision platform.Revision
	Raw      []byte // as stored, for hosts that cannot reach the store

	packOnce sync.Once
	packed   atomic.Pointer[packed.Text] // see Packed
}

// Packed returns the compressed text, nil while it is being made. The first call begins that: callers have
// little time to answer.
func (s *Snapshot) Packed() *packed.Text {
	s.packOnce.Do(func() {
		go func() {
			text := packed.Pack(s.Raw)
			s.packed.Store(&text)
		}()
	})
	return s.packed.Load()
}

// Stamp returns the version and revision, the zero Stamp for nil.
func (s *Snapshot) Stamp() Stamp {
	if s == nil {
		return Stamp{}
	}
	return Stamp{Version: s.Version, Revision: s.Revision}
}

// Holder holds the configuration in force. It never goes back to an older one. It is safe
// for concurrent use.
type Holder struct {
	decode  func([]byte) (*Configuration, error)
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // serializes ApplyIfNewer
}

// NewHolder returns an empty holder that parses configurations with decode.
func NewHolder(decode func([]byte) (*Configuration, error)) *Holder { return &Holder{decode: decode} }

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// ApplyIfNewer puts a configuration in force if it is newer than the current one, and
// reports whether it did. It returns ErrOlderVersion if a later era of the store than the
// current configuration's holds an older version. If raw cannot be decoded, the current
// configuration stays in force.
func (h *Holder) ApplyIfNewer(raw []byte, revision platform.Revision) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if current != nil && current.Revision.Era() == revision.Era() && current.Revision >= revision {
		return false, nil
	}
	c, err := h.decode(raw)
	if err != nil {
		return false, err
	}
	next := &Snapshot{Configuration: c, Revision: revision, Raw: raw}
	switch {
	case next.Stamp().NewerThan(current.Stamp()):
		h.current.Store(next)
		return true, nil
	case revision.Era() < current.Revision.Era():
		return false, nil
	case c.Version < current.Version:
		return false, eris.Wrapf(ErrOlderVersion, "version %d at revision %v, in force is version %d", c.Version, revision, current.Version)
	}
	// The operator has written the configuration in force again in a new era, where
	// revisions decide what is newer.
	h.current.Store(next)
	return false, nil
}

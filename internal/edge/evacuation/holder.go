package evacuation

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/platform"
)

// Holder holds the state in force. Within an era of the store it never goes back to an older one.
// A nil Holder stands for a deployment without evacuations. It is safe for concurrent use.
type Holder struct {
	log     *slog.Logger
	settled func(era int64) bool
	// OnEnd is called with the domains whose evacuation ends, before their targets get requests
	// again, and with the revision that ends it; nil for nothing. Set it before the first state.
	OnEnd   func(domains []string, revision platform.Revision)
	current atomic.Pointer[State]
	mu      sync.Mutex // serializes changes
}

// NewHolder returns a holder that knows no state. settled reports whether what a restore of the
// store lost at the begin of an era has been written again.
func NewHolder(log *slog.Logger, settled func(era int64) bool) *Holder {
	return &Holder{log: log, settled: settled}
}

// Known reports whether the host knows all evacuations, or there are none in this deployment.
func (h *Holder) Known() bool {
	if h == nil {
		return true
	}
	s := h.current.Load()
	return s != nil && s.complete
}

// Blocks reports whether targets of a domain get no requests. As long as the host knows no state
// that holds for all domains.
func (h *Holder) Blocks(domain string) bool {
	if h == nil {
		return false
	}
	s := h.current.Load()
	if s == nil || !s.complete {
		return true
	}
	_, evacuated := s.domains[domain]
	return evacuated
}

// Any reports whether a domain may be blocked. It is cheap.
func (h *Holder) Any() bool {
	if h == nil {
		return false
	}
	s := h.current.Load()
	return s == nil || !s.complete || len(s.domains) > 0
}

// Count returns how many domains are evacuated.
func (h *Holder) Count() int {
	if h == nil {
		return 0
	}
	if s := h.current.Load(); s != nil {
		return len(s.domains)
	}
	return 0
}

// Settled reports whether what was lost with the restore before the era of a revision has been
// written again.
func (h *Holder) Settled(revision platform.Revision) bool { return h.settled(revision.Era()) }

// Replace puts the domains of a whole list of the store in force if it is newer. settled reports
// whether the era was settled before the list was read.
func (h *Holder) Replace(domains []string, revision platform.Revision, settled bool, source string) {
	h.replace(newState(domains, revision, settled), source, 0)
}

// Apply puts the changes of a watch up to a revision in force, as far as they are newer. A list
// must have been applied before.
func (h *Holder) Apply(changes []Change, revision platform.Revision, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil {
		h.put(current.apply(changes, revision, h.Settled(revision)), source, 0)
	}
}

// Merge puts the state of another host in force if it is newer. age is how long ago the other host
// knew that it was the newest. It returns false if the other host knows none.
func (h *Holder) Merge(s *Snapshot, source string, age time.Duration) bool {
	if !s.Known {
		return false
	}
	told := newState(s.Domains, s.Revision, !s.Settling)
	told.complete = true
	h.replace(told, source, age)
	return true
}

// Snapshot returns the state for other hosts.
func (h *Holder) Snapshot() Snapshot {
	if !h.Known() || h == nil {
		return Snapshot{}
	}
	s := h.current.Load()
	return Snapshot{Known: true, Domains: s.Domains(), Revision: s.Revision, Settling: s.Settling}
}

func (h *Holder) replace(s *State, source string, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); s.supersedes(current) {
		h.put(s.after(current), source, age)
	}
}

// put puts a state in force and logs it if it differs. Callers hold h.mu.
func (h *Holder) put(s *State, source string, age time.Duration) {
	before := h.current.Load()
	if ended := s.endedSince(before); len(ended) > 0 && h.OnEnd != nil {
		h.OnEnd(ended, s.Revision)
	}
	h.current.Store(s)
	if !s.same(before) {
		h.log.Info("evacuation: domains in force", "domains", s.Domains(), "revision", s.Revision, "source", source,
			"age_ms", age.Milliseconds(), "settling", s.Settling, "complete", s.complete)
	}
}

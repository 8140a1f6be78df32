package targets

import "time"

// Target is one incarnation of a server that does the work.
type Target struct {
	ID          string // of the incarnation or, where a restart keeps it, of the server
	StartedAtMS int64  // start of the incarnation, Unix milliseconds; 0 if unknown
	Service     string
	Address     string // ip:port
	Domain      string
	Slots       int
	WarmupLeft  time.Duration // how much longer it is slow after its start, as of the entry
	Leaving     bool
}

// Key names the incarnation: a target that starts again under its old id is
// another one, whose connections and load start anew.
func (t *Target) Key() string { return incarnation(t.ID, t.StartedAtMS) }

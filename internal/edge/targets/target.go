package targets

import "time"

// Target is one incarnation of an engine or a plain service instance.
type Target struct {
	ID          string // may stay the same across restarts
	StartedAtMS int64  // when the incarnation started, in Unix milliseconds; 0 if unknown
	Service     string
	Address     string // ip:port
	Domain      string
	Slots       int
	WarmupLeft  time.Duration // remaining time of slow responses after the start, as of the entry
	Leaving     bool
}

// Key identifies the incarnation: a target that restarts under the same ID is a
// different incarnation, with new connections and no load.
func (t *Target) Key() string { return incarnationKey(t.ID, t.StartedAtMS) }

package suspicion

import "time"

// maxRecentCompletions bounds each map of completions, at about 40 bytes an entry.
const maxRecentCompletions = 2048

// completions holds when requests last ran to their end, for the last maxRecentCompletions
// of them at least. The zero value is ready.
type completions struct {
	recent, earlier map[uint64]time.Time // by fingerprint
}

func (c *completions) add(fingerprint uint64, at time.Time) {
	if c.isAfter(fingerprint, at) {
		return
	}
	if len(c.recent) >= maxRecentCompletions {
		c.recent, c.earlier = nil, c.recent
	}
	if c.recent == nil {
		c.recent = make(map[uint64]time.Time)
	}
	c.recent[fingerprint] = at
}

// isAfter reports whether a request is known to have run to its end after the given time.
func (c *completions) isAfter(fingerprint uint64, at time.Time) bool {
	return c.recent[fingerprint].After(at) || c.earlier[fingerprint].After(at)
}

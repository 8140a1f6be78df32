package enginemodel

import "time"

// Stats are totals since the start.
type Stats struct {
	Steps         int64
	Tokens        int64 // output tokens
	Finished      int64 // generations
	Canceled      int64 // generations
	Preemptions   int64
	Stall         time.Duration // sum over all resumed preemptions
	PrefillTokens int64         // computed, with recomputation after preemptions
	CachedTokens  int64         // prompt tokens found in the cache
}

// Stats returns the totals since the start.
func (e *Engine) Stats() Stats { return e.stats }

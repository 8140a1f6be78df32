package enginemodel

import "time"

// Stats holds totals since the start of the engine.
type Stats struct {
	Steps         int64
	Tokens        int64 // output tokens
	Finished      int64 // generations
	Canceled      int64 // generations
	Preemptions   int64
	Stall         time.Duration // total time between preemptions and the next token, of resumed generations
	PrefillTokens int64         // computed, including recomputation after preemptions
	CachedTokens  int64         // found in the prefix cache
}

// Stats returns the totals since the start of the engine.
func (e *Engine) Stats() Stats { return e.stats }

package scheduling

import (
	"time"

	"corianderhitch/internal/document"
)

const (
	// MaxCellTargets is the number of targets that one Pool decides over.
	// Larger pools are split into cells (see package cells).
	MaxCellTargets = 16

	defaultInterTokenMS    = 34
	defaultFirstTokenMS    = 800
	defaultOverflowPercent = 1
	// defaultQueueBound is the number of requests that wait in one pool at most.
	defaultQueueBound = 4096
	// defaultPrefillMSPerToken is the time an engine takes to compute one
	// prompt token that no cache holds.
	defaultPrefillMSPerToken = 0.04
	// defaultPrefillChunk is the number of prompt tokens that an engine
	// computes within one step.
	defaultPrefillChunk = 512
)

// Config is the part of the environment document that a Pool acts on. The zero
// value holds the defaults.
type Config struct {
	Objectives document.Objectives
	// Limits holds the limits of the client accounts by name.
	Limits map[string]document.Limits
	// QueueBound is the number of requests that may wait; 0 means the default.
	QueueBound int
	// AgeAfter is the wait after which a request of low priority may overtake
	// others; 0 means fairqueue.DefaultAge.
	AgeAfter time.Duration
	// PrefillMSPerToken is the time to compute one uncached prompt token; 0
	// means the default.
	PrefillMSPerToken float64
	// PrefillChunk is the number of prompt tokens that an engine computes
	// within one step; 0 means the default.
	PrefillChunk int
}

func (c Config) withDefaults() Config {
	if c.Objectives.InterTokenMS <= 0 {
		c.Objectives.InterTokenMS = defaultInterTokenMS
	}
	if c.Objectives.FirstTokenMS <= 0 {
		c.Objectives.FirstTokenMS = defaultFirstTokenMS
	}
	if c.Objectives.OverflowPercent <= 0 {
		c.Objectives.OverflowPercent = defaultOverflowPercent
	}
	if c.QueueBound <= 0 {
		c.QueueBound = defaultQueueBound
	}
	if c.PrefillMSPerToken <= 0 {
		c.PrefillMSPerToken = defaultPrefillMSPerToken
	}
	if c.PrefillChunk <= 0 {
		c.PrefillChunk = defaultPrefillChunk
	}
	return c
}

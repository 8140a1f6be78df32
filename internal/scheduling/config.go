package scheduling

import (
	"time"

	"corianderhitch/internal/document"
)

const (
	// MaxCellTargets is the largest number of targets of one Pool. Larger pools
	// are split into cells (see package cells).
	MaxCellTargets = 16

	defaultInterTokenMS    = 34
	defaultFirstTokenMS    = 800
	defaultOverflowPercent = 1
	// defaultQueueBound is the largest number of waiting requests per pool.
	defaultQueueBound = 4096
	// defaultPrefillMSPerToken is the time in which an engine prefills one uncached
	// prompt token.
	defaultPrefillMSPerToken = 0.04
	// defaultPrefillChunk is the number of prompt tokens that an engine prefills
	// per step.
	defaultPrefillChunk = 512
)

// Config holds the settings of a Pool, taken from the environment document. The
// zero value means the defaults.
type Config struct {
	Objectives document.Objectives
	// Limits holds the limits of client accounts by account name.
	Limits map[string]document.Limits
	// RatesUsedUntil is until when another process may have granted requests, so that an
	// account may have used its rates; the zero time stands for never.
	RatesUsedUntil time.Time
	// QueueBound is the largest number of waiting requests; 0 means the default.
	QueueBound int
	// AgeAfter is how long a request waits before it may overtake requests of
	// higher priority; 0 means fairqueue.DefaultAgeAfter.
	AgeAfter time.Duration
	// PrefillMSPerToken is the time in milliseconds to prefill one uncached prompt
	// token; 0 means the default.
	PrefillMSPerToken float64
	// PrefillChunk is the number of prompt tokens that an engine prefills per step;
	// 0 means the default.
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

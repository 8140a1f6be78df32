package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// Defaults of Config, in the range of one accelerator with a model of a few
// billion parameters: 32 sequences decode in about 30 ms a step.
const (
	defaultTotalBlocks         = 1024
	defaultMaxBatch            = 32
	defaultPrefillChunk        = 512
	defaultStepBase            = 20 * time.Millisecond
	defaultStepPerSequence     = 300 * time.Microsecond
	defaultStepPerPrefillToken = 40 * time.Microsecond
	defaultCacheEventBuffer    = 4096
	defaultMaxWaiting          = 4096
	defaultReportEvery         = 100 * time.Millisecond // with a lag
)

// FenceMode tells what an engine does with an old fencing number.
type FenceMode string

// The modes of fencing.
const (
	FenceStrict FenceMode = "strict" // refuses an order below the highest fence seen
	FenceLax    FenceMode = "lax"    // ignores the fence
)

// Config describes an engine. Zero values mean the defaults.
type Config struct {
	Name   string          // target name in load reports
	Seed   uint64          // of lost and late cache events
	Loaded []engine.Loaded // at the start
	Role   engine.Role     // empty means general

	TotalBlocks         int // KV blocks of BlockTokens tokens
	MaxBatch            int // sequences
	MaxWaiting          int // sequences; more are refused as overloaded
	PrefillChunk        int // prefill tokens a step
	StepBase            time.Duration
	StepPerSequence     time.Duration // for each decoding sequence
	StepPerPrefillToken time.Duration

	// Lengths draws the output length of requests without a "#len=" directive.
	// LengthSeed and the generation id determine the draw, so that engines with
	// the same seed continue a generation to the same end.
	Lengths    LengthMixture
	LengthSeed uint64

	// Load reports are sampled every ReportEvery and seen after ReportLag. Both
	// zero means reports without lag.
	ReportEvery time.Duration
	ReportLag   time.Duration

	// Cache events are seen after CacheLag plus a random part of CacheJitter.
	// CacheLoss is the probability that one is lost. CacheEventBuffer is the
	// number of events kept.
	CacheLag         time.Duration
	CacheJitter      time.Duration
	CacheLoss        float64
	CacheEventBuffer int

	Fence FenceMode // empty means strict
	// MaxLoaded is the number of model versions that fit; zero means any number.
	MaxLoaded int
	// Weights is the weight store that engines share. Nil means that a load takes
	// LoadTime.
	Weights     *WeightStore
	WeightBytes int64 // of one model version or adapter, for Weights
	LoadTime    time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.TotalBlocks, defaultTotalBlocks)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.PrefillChunk, defaultPrefillChunk)
	setDefault(&c.StepBase, defaultStepBase)
	setDefault(&c.StepPerSequence, defaultStepPerSequence)
	setDefault(&c.StepPerPrefillToken, defaultStepPerPrefillToken)
	setDefault(&c.CacheEventBuffer, defaultCacheEventBuffer)
	setDefault(&c.Role, engine.RoleGeneral)
	setDefault(&c.Fence, FenceStrict)
	if c.ReportLag > 0 {
		setDefault(&c.ReportEvery, defaultReportEvery)
	}
	if len(c.Lengths) == 0 {
		c.Lengths = DefaultLengths()
	}
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

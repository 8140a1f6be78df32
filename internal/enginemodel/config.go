package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// Defaults of Config. They resemble one accelerator that runs a model of a few billion
// parameters: a decode step of 32 sequences takes about 30 ms.
const (
	defaultTotalBlocks         = 1024
	defaultMaxBatch            = 32
	defaultPrefillChunk        = 512
	defaultStepBase            = 20 * time.Millisecond
	defaultStepPerSequence     = 300 * time.Microsecond
	defaultStepPerPrefillToken = 40 * time.Microsecond
	defaultCacheEventBuffer    = 4096
	defaultMaxWaiting          = 4096
	defaultReportEvery         = 100 * time.Millisecond // if ReportLag is set
)

// FenceMode selects how an engine treats an order with an outdated fencing token.
type FenceMode string

// The fencing modes.
const (
	FenceStrict FenceMode = "strict" // rejects an order whose fencing token is below the highest seen
	FenceLax    FenceMode = "lax"    // ignores fencing tokens
)

// Config configures an engine. Zero values select the defaults.
type Config struct {
	Name   string          // target name in load reports and errors
	Seed   uint64          // of the random loss and delay of cache events
	Loaded []engine.Loaded // model versions loaded at the start
	Role   engine.Role     // empty means general

	TotalBlocks         int           // KV memory in blocks of BlockTokens tokens
	MaxBatch            int           // sequences in a step
	MaxWaiting          int           // sequences; further ones are rejected as overloaded
	PrefillChunk        int           // prefill tokens in a step, over all sequences
	StepBase            time.Duration // of every step
	StepPerSequence     time.Duration // added for each decoding sequence
	StepPerPrefillToken time.Duration

	// Lengths is the distribution of output lengths for requests without a "#len="
	// directive. LengthSeed and the generation id determine the length, so that
	// another engine with the same seed continues a generation to the same length.
	Lengths    LengthMixture
	LengthSeed uint64

	// CrashingBlock is the prefix hash of a block of prompts, zero for none. The engine
	// crashes when it begins to write the answer to a prompt that contains the block.
	CrashingBlock uint64

	// Load reports are sampled every ReportEvery and visible ReportLag later. If both
	// are zero, reports show the current state.
	ReportEvery time.Duration
	ReportLag   time.Duration

	// Cache events become visible after CacheLag plus a random delay below
	// CacheJitter. CacheLoss is the probability that an event is lost.
	// CacheEventBuffer is the number of events kept for reading.
	CacheLag         time.Duration
	CacheJitter      time.Duration
	CacheLoss        float64
	CacheEventBuffer int

	Fence FenceMode // empty means strict
	// MaxLoaded limits the number of loaded model versions; zero means no limit.
	MaxLoaded int
	// Weights is the store from which several engines fetch weights. A load takes
	// LoadTime after the fetch, or LoadTime only if Weights is nil.
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

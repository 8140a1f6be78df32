package deployment

import "time"

// Engine holds the figures of a service's model engines.
type Engine struct {
	Step            time.Duration `toml:"step"`
	StepPerSlot     time.Duration `toml:"step_per_slot"`
	PromptPerMS     float64       `toml:"prompt_tokens_per_ms"`
	Chunk           int           `toml:"chunk"`            // prompt tokens that one step reads
	TokensPerEvent  int           `toml:"tokens_per_event"` // of a stream
	MemoryTokens    int           `toml:"memory_tokens"`
	TokenBytes      int           `toml:"token_bytes"`
	LinkMbps        float64       `toml:"link_mbps"`
	Moves           bool          `toml:"moves"`
	HandleLifetime  time.Duration `toml:"handle_lifetime"`
	ReportLag       time.Duration `toml:"report_lag"`
	FragileCopies   bool          `toml:"fragile_copies"`   // a copy can't be used while more is added to it, nor if that fails
	TransferLatency time.Duration `toml:"transfer_latency"` // of a transfer, besides its bytes
}

package deployment

import "time"

// Bounds are the figures of the rules and of the hosts' settings.
type Bounds struct {
	Contact         time.Duration `toml:"contact"`
	Acknowledge     time.Duration `toml:"acknowledge"`
	CatchUp         time.Duration `toml:"catch_up"`
	Drain           time.Duration `toml:"drain"`
	Grace           time.Duration `toml:"grace"`
	Lost            time.Duration `toml:"lost"`
	Apply           time.Duration `toml:"apply"`
	RollbackSlack   time.Duration `toml:"rollback_slack"`
	MaxSkew         time.Duration `toml:"max_skew"`
	Revoke          time.Duration `toml:"revoke"`
	RevokeStrict    bool          `toml:"revoke_strict"`
	Evacuate        time.Duration `toml:"evacuate"` // 0 for a deployment that evacuates no domain
	Recover         time.Duration `toml:"recover"`
	Pass            time.Duration `toml:"pass"`
	ReuseAfter      time.Duration `toml:"reuse_after"`
	ReuseWindow     time.Duration `toml:"reuse_window"`
	SeedLag         time.Duration `toml:"seed_lag"`
	RetryRatio      float64       `toml:"retry_ratio"`
	RetrySlack      int           `toml:"retry_slack"`
	RetryWindow     time.Duration `toml:"retry_window"`
	MaxCrashRetries int           `toml:"max_crash_retries"`
	FaultHosts      int           `toml:"fault_hosts"`
	FaultDomains    int           `toml:"fault_domains"`
	FaultRegions    int           `toml:"fault_regions"`
}

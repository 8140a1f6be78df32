package deployment

// HostLimits are the limits that hosts are told.
type HostLimits struct {
	CPUShare    float64 `toml:"cpu_share"`
	Cores       int     `toml:"cores"`
	MemoryMB    int     `toml:"memory_mb"`
	Descriptors int     `toml:"descriptors"`
	LinkMbps    float64 `toml:"link_mbps"`
}

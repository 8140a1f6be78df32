package policy

import "time"

// Engine describes the model engines of a service.
type Engine struct {
	Slots             int // sequences in a batch
	MemoryTokens      int // KV cache of one engine
	TokenBytes        int // KV cache bytes of one token
	LinkMbps          float64
	SupportsMigration bool // copies the memory of a run to another engine
	TokensPerEvent    int
	HandleLifetime    time.Duration // how long an unused copy is kept
}

// TransferTime returns the time that tokens take on an idle link in a zone.
func (e *Engine) TransferTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(e.TokenBytes) * 8
	return time.Duration(bits / (e.LinkMbps * 1e6) * float64(time.Second))
}

// Service is a group of equal targets.
type Service struct {
	Name           string
	MaxConnections int     // of one target, from all callers together
	Engine         *Engine // nil for a plain service
}

package policy

import "time"

// Engine describes the model engines of a service.
type Engine struct {
	Slots             int // sequences in a batch
	MemoryTokens      int // KV cache capacity of one engine, in tokens
	TokenBytes        int // KV cache bytes of one token
	LinkMbps          float64
	SupportsMigration bool // can copy the memory of a run to another engine
	TokensPerEvent    int
	HandleLifetime    time.Duration // how long the engine keeps an unused replica; 0 if unknown
}

// TransferTime returns how long the KV cache of so many tokens takes on an idle link
// within a failure domain, 0 if the link's rate is unknown.
func (e *Engine) TransferTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(e.TokenBytes) * 8
	return time.Duration(bits / (e.LinkMbps * 1e6) * float64(time.Second))
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int     // to one target, from all callers together
	Engine         *Engine // nil for a plain service
	// ColdFor is how long a target is cold after its start; 0 if not stated.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold target bears from all hosts; 0 for no bound.
	ColdRate float64
}

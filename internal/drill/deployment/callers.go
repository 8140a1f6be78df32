package deployment

// Callers are the callers of a failure domain.
type Callers struct {
	Domain    string             `toml:"domain"`
	Clients   int                `toml:"clients"`
	PerSecond float64            `toml:"per_second"` // requests of all clients
	Mix       map[string]float64 `toml:"mix"`        // weights of kinds of requests
}

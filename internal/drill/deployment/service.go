package deployment

import "time"

// Service is a service with its targets.
type Service struct {
	Name        string         `toml:"name"`
	Targets     map[string]int `toml:"targets"` // by failure domain
	Slots       int            `toml:"slots"`
	Queue       int            `toml:"queue"`
	Connections int            `toml:"connections"` // of all hosts together at a target
	Linger      time.Duration  `toml:"linger"`      // that a target serves beyond the bound after its leaving notice
	Engine      *Engine        `toml:"engine"`      // nil for plain services
}

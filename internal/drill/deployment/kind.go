package deployment

import (
	"time"

	"corianderhitch/internal/drill/record"
)

// Kind is a kind of request. Each has a route of its own.
type Kind struct {
	Name         string        `toml:"name"`
	Service      string        `toml:"service"`
	Method       string        `toml:"method"`
	Kind         record.Kind   `toml:"kind"`
	Objective    time.Duration `toml:"objective"`
	GapObjective time.Duration `toml:"gap_objective"`
	Deadline     time.Duration `toml:"deadline"`
	Timeout      time.Duration `toml:"timeout"` // of the route; 0 for none
	Attempts     int           `toml:"attempts"`
	Repeats      int           `toml:"repeats"` // of callers
	Priority     int           `toml:"priority"`
	Resumable    bool          `toml:"resumable"`
	Body         Length        `toml:"body"`   // bytes
	Answer       Length        `toml:"answer"` // bytes of a plain answer
	Work         Length        `toml:"work"`   // milliseconds
	ErrorShare   float64       `toml:"error_share"`
	Prompt       Length        `toml:"prompt"` // tokens
	Events       Length        `toml:"events"`
	EventBytes   Length        `toml:"event_bytes"`
	Parts        []Part        `toml:"parts"` // of the prompt that requests share
	Hint         float64       `toml:"hint"`  // spread of the callers' estimate of the output, 0 for none
}

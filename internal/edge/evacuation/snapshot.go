package evacuation

import "corianderhitch/internal/platform"

// Snapshot is a state as hosts tell it to each other. Its zero value, which is also what an
// earlier build says, stands for a host that knows none.
type Snapshot struct {
	Known    bool
	Domains  []string
	Revision platform.Revision
	Settling bool // see State
}

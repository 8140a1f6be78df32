package peers

import (
	"time"

	"corianderhitch/internal/edge/evacuation"
)

// mergeEvacuation puts the evacuated failure domains of another host in force if they are newer. It
// returns false if the deployment evacuates domains and the other host doesn't say which: its build
// is older, or it has just started.
func (e *Exchange) mergeEvacuation(told *evacuation.Snapshot, source string, age time.Duration) bool {
	if e.Evacuated == nil {
		return true
	}
	return e.Evacuated.Merge(told, source, min(age, maxConfirmationAge))
}

package docstore

import (
	"fmt"
	"time"
)

// ConflictError means that the revision that a change was based on is no longer in
// force. Nothing was changed.
type ConflictError struct {
	Environment string    `json:"environment"`
	Base        int64     `json:"base"`        // revision that the operator's change was based on
	Current     int64     `json:"current"`     // revision in force now; 0 if there is none
	Operator    string    `json:"operator"`    // who applied the current revision
	AcceptedAt  time.Time `json:"accepted_at"` // when the current revision was accepted
	Comment     string    `json:"comment,omitempty"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == 0 {
		return fmt.Sprintf("conflict: your change was based on revision %d, but %s has no document; nothing was changed; apply with --base 0",
			e.Base, e.Environment)
	}
	return fmt.Sprintf("conflict: your change was based on revision %d of %s, but revision %d is in force (by %s at %s); nothing was changed; "+
		"look at \"hitchctl diff\" against revision %d, then repeat with --base %d",
		e.Base, e.Environment, e.Current, e.Operator, e.AcceptedAt.UTC().Format(time.RFC3339), e.Current, e.Current)
}

// OutcomeUnknownError means that the store's answer was lost and the outcome could
// not be determined in time: the change may be in force now or take effect later.
type OutcomeUnknownError struct {
	Environment string `json:"environment"`
	Revision    int64  `json:"revision"` // revision of the change if it was accepted
	Attempt     string `json:"attempt"`  // id of the change in the history
	Cause       error  `json:"-"`
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("unknown outcome: the store did not answer, so revision %d of %s may or may not be this change; "+
		"run \"hitchctl history\" when the store is back and look for attempt %s: %v", e.Revision, e.Environment, e.Attempt, e.Cause)
}

// Unwrap returns the store's last error.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// RevisionNotFoundError means that a revision was never accepted, or was removed by
// Prune.
type RevisionNotFoundError struct {
	Environment string `json:"environment"`
	Revision    int64  `json:"revision"`
	Current     int64  `json:"current"` // revision in force; 0 if there is none
}

// Error implements error.
func (e *RevisionNotFoundError) Error() string {
	return fmt.Sprintf("%s has no accepted revision %d, or it was removed by prune (revision %d is in force); choose one that \"hitchctl history\" lists",
		e.Environment, e.Revision, e.Current)
}

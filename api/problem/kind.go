// Package problem defines the typed errors that callers and operators receive
// as RFC 9457 problem details.
package problem

// Kind is the stable name of an error class. Callers may branch on it, so it never
// changes once it is published.
type Kind string

// The kinds that a gateway returns. docs/OPERATIONS.md explains each.
const (
	KindBadRequest       Kind = "bad-request"
	KindTooLarge         Kind = "too-large"
	KindUnauthenticated  Kind = "unauthenticated"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "not-found"
	KindUnknownModel     Kind = "unknown-model"
	KindKeyReused        Kind = "idempotency-key-reused"
	KindInProgress       Kind = "in-progress"
	KindBadResumeToken   Kind = "bad-resume-token"
	KindGenerationLost   Kind = "generation-lost"
	KindAccountLimited   Kind = "account-limited"
	KindOverloaded       Kind = "overloaded"
	KindDraining         Kind = "draining"
	KindNoTarget         Kind = "no-target"
	KindStoreUnavailable Kind = "store-unavailable"
	KindOutcomeUnknown   Kind = "outcome-unknown"
	KindTargetFailed     Kind = "target-failed"
	KindCrashSuspect     Kind = "crash-suspect"
	KindDeadline         Kind = "deadline-exceeded"
	KindConflict         Kind = "revision-conflict"
	KindInvalidDocument  Kind = "invalid-document"
	KindInternal         Kind = "internal"
)

// Ran says whether a target executed the request.
type Ran string

// RanNo is used only if no byte of the request was sent to a target or each target
// rejected it before running it. RanUnknown is used whenever the execution can be
// neither proved nor excluded.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

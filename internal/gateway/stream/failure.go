package stream

// Failure is how an attachment to an engine ended without the end of the
// generation.
type Failure int

// The failures. The I/O side maps its errors to them.
const (
	// FailureNotSent: no byte left for the engine and none will.
	FailureNotSent Failure = iota
	// FailureDied: nothing listens at the engine any more, or it has restarted
	// and does not know the generation.
	FailureCrashed
	// FailureRefused: the engine refused to run the request.
	FailureRejected
	// FailureBroken: the connection broke.
	FailureConnectionLost
	// FailureSilent: the engine that ran the generation gave no answer to an
	// attachment in time.
	FailureUnresponsive
	// FailureStalled: the engine answered, then sent no token within the bound.
	FailureStalled
	// FailureEngine: the engine ended the generation with an error.
	FailureEngineError
	// FailureProtocol: the engine's answer made no sense.
	FailureProtocol
)

// String returns the failure's name for logs and metrics.
func (f Failure) String() string {
	names := [...]string{"not-sent", "died", "refused", "broken", "silent", "stalled", "engine-error", "protocol"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

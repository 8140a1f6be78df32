package stream

// Failure is how an attachment to an engine ended without the end of the
// generation.
type Failure int

// The failures. The runner maps its I/O errors to them.
const (
	// FailureNotSent: no byte of the request was sent to the engine, and none will be.
	FailureNotSent Failure = iota
	// FailureCrashed: nothing listens at the engine's address any more, or the engine
	// has restarted and does not know the generation.
	FailureCrashed
	// FailureRejected: the engine rejected the request without running it.
	FailureRejected
	// FailureConnectionLost: the connection was lost or timed out.
	FailureConnectionLost
	// FailureUnresponsive: the engine that ran the generation did not answer an
	// attachment in time.
	FailureUnresponsive
	// FailureStalled: the engine accepted the attachment, then sent no token within the
	// stall timeout.
	FailureStalled
	// FailureEngineError: the engine ended the generation with an error.
	FailureEngineError
	// FailureProtocol: the engine's answer violated the protocol.
	FailureProtocol
)

// String implements fmt.Stringer.
func (f Failure) String() string {
	names := [...]string{"not-sent", "died", "refused", "broken", "silent", "stalled", "engine-error", "protocol"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

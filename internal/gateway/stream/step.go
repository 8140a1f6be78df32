package stream

// StepKind says what the I/O side does next.
type StepKind int

// The steps.
const (
	// StepIgnore: drop the input; it is a duplicate or from an old attachment.
	StepIgnore StepKind = iota
	// StepAccept: the token is the next of the generation.
	StepAccept
	// StepAttach: attach again to the same generation on the same engine.
	StepAttach
	// StepContinue: find another engine and continue the same generation from
	// its prefix under the same version and adapter.
	StepContinue
	// StepRestart: find another engine and run again as a new generation.
	StepRestart
	// StepFinish: the generation is complete.
	StepFinish
	// StepFail: end with the typed error that Reason names.
	StepFail
)

// Reason tells why a stream failed.
type Reason int

// The reasons of StepFail.
const (
	ReasonNone             Reason = iota
	ReasonGenerationLost          // tokens were delivered and the generation cannot go on
	ReasonRepeatedCrashes         // the request's engines died while they ran it
	ReasonRetriesExhausted        // the retry budget is used up
	ReasonTokenMismatch           // an engine repeated a token with another text
)

// Step is the machine's answer to an input. Leave asks to cancel the generation
// on the engine that is left behind, as soon as it can be reached.
type Step struct {
	Kind           StepKind
	Reason         Reason
	CancelPrevious bool
}

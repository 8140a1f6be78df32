package stream

// StepKind is what the runner does next.
type StepKind int

// The steps.
const (
	// StepIgnore: drop the input; it is a duplicate or from an earlier attachment.
	StepIgnore StepKind = iota
	// StepAccept: the token is the next one of the generation.
	StepAccept
	// StepAttach: attach again to the same generation on the same engine.
	StepAttach
	// StepContinue: find another engine and continue the same generation there from
	// the tokens so far, under the same version and adapter.
	StepContinue
	// StepRestart: find another engine and run the request again as a new generation.
	StepRestart
	// StepFinish: the generation is complete.
	StepFinish
	// StepFail: end with the error that Reason selects.
	StepFail
)

// Reason is why a stream failed.
type Reason int

// The reasons of StepFail.
const (
	ReasonNone             Reason = iota
	ReasonGenerationLost          // tokens were delivered and the generation cannot be continued
	ReasonRepeatedCrashes         // too many engines crashed while they ran the request
	ReasonRetriesExhausted        // a limit of failovers or rejections is exceeded
	ReasonTokenMismatch           // an engine sent another text for a known token
)

// Step is the machine's answer to an input. CancelGeneration asks the runner to cancel
// the generation on the engine that it stops using, once that can be reached. MayReturn
// states that this engine may only be silent: if no other takes over, the runner calls
// Machine.Return and attaches to it again.
type Step struct {
	Kind             StepKind
	Reason           Reason
	CancelGeneration bool
	MayReturn        bool
}

package stream

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/engine"
)

// execution is one execution of a generation on an engine. Its token texts are unique
// to it, so that a mix of two executions is detected.
type execution struct {
	generation string
	tokens     []string
	length     int
}

// simulation is a caller, the machine under test and simulated engines.
type simulation struct {
	t                  *rapid.T
	machine            *Machine
	options            Options
	executions         []*execution
	current            *execution
	epoch              int
	nextOffset         int // offset that the attachment sends next
	oldEpochs          []int
	received           []string // by the caller
	receivedGeneration string   // generation of the received tokens
	finalStep          Step
	restarts           int
}

func (sim *simulation) newExecution(generation string, prefix []string) *execution {
	e := &execution{generation: generation, length: rapid.IntRange(1, 12).Draw(sim.t, "length")}
	e.length = max(e.length, len(prefix))
	e.tokens = append(e.tokens, prefix...)
	sim.executions = append(sim.executions, e)
	for i := len(prefix); i < e.length; i++ {
		e.tokens = append(e.tokens, fmt.Sprintf("%s-run%d-%d", generation, len(sim.executions), i))
	}
	return e
}

func (sim *simulation) attach(offset int) {
	sim.oldEpochs = append(sim.oldEpochs, sim.epoch)
	sim.epoch = sim.machine.BeginAttachment()
	sim.nextOffset = offset
	if rapid.Bool().Draw(sim.t, "accepted") {
		sim.machine.AttachmentAccepted(sim.epoch)
	}
}

// applyStep carries out a step.
func (sim *simulation) applyStep(step Step, token engine.Token) {
	if step.MayReturn && rapid.Bool().Draw(sim.t, "no other engine") {
		sim.machine.Return()
		sim.attach(sim.machine.Offset())
		return
	}
	switch step.Kind {
	case StepAccept:
		if !sim.options.NonStreaming && token.Offset >= sim.options.DeliveredTokens {
			sim.deliver(token)
		}
	case StepAttach:
		require.True(sim.t, sim.machine.MayHaveRun(), "an engine that cannot have run the request is attached to again")
		sim.attach(sim.machine.Offset())
	case StepContinue:
		sim.current = sim.continueElsewhere()
		sim.attach(0)
	case StepRestart:
		require.Empty(sim.t, sim.received, "a restart after tokens were delivered")
		sim.restarts++
		sim.machine.Restart(fmt.Sprint("g", sim.restarts))
		sim.current = sim.newExecution(sim.machine.Generation(), nil)
		sim.attach(0)
	case StepFinish, StepFail:
		sim.finalStep = step
	}
}

// continueElsewhere returns the execution on the engine that continues. That engine may
// already run the generation from a shorter prefix, for another gateway.
func (sim *simulation) continueElsewhere() *execution {
	generation, prefix := sim.machine.Generation(), sim.machine.Tokens()
	if rapid.IntRange(0, 3).Draw(sim.t, "other gateway was there") == 0 {
		cut := rapid.IntRange(0, len(prefix)).Draw(sim.t, "its prefix")
		return sim.newExecution(generation, prefix[:cut])
	}
	return sim.newExecution(generation, prefix)
}

func (sim *simulation) deliver(token engine.Token) {
	require.Equal(sim.t, len(sim.received)+sim.options.DeliveredTokens, token.Offset, "order")
	if sim.receivedGeneration != "" {
		require.Equal(sim.t, sim.receivedGeneration, token.Generation, "two generations")
	}
	sim.receivedGeneration = token.Generation
	sim.received = append(sim.received, token.Text)
}

// drawEvent draws the next event and applies it.
func (sim *simulation) drawEvent() {
	token := func(e *execution, offset int) engine.Token {
		return engine.Token{Generation: e.generation, Offset: offset, Text: e.tokens[offset]}
	}
	switch rapid.IntRange(0, 15).Draw(sim.t, "event") {
	default: // the next token, or the end
		if sim.nextOffset >= len(sim.current.tokens) {
			done := engine.Done{Generation: sim.current.generation, Tokens: len(sim.current.tokens)}
			sim.applyStep(sim.machine.HandleDone(sim.epoch, done), engine.Token{})
			return
		}
		t := token(sim.current, sim.nextOffset)
		sim.nextOffset++
		sim.applyStep(sim.machine.HandleToken(sim.epoch, t), t)
	case 7: // a duplicate
		t := token(sim.current, rapid.IntRange(0, max(0, sim.nextOffset-1)).Draw(sim.t, "offset"))
		sim.applyStep(sim.machine.HandleToken(sim.epoch, t), t)
	case 8: // a gap, or the end too early
		if sim.nextOffset+1 < len(sim.current.tokens) {
			sim.nextOffset++
			return
		}
		sim.applyStep(sim.machine.HandleDone(sim.epoch, engine.Done{Generation: sim.current.generation, Tokens: len(sim.current.tokens) + 1}), engine.Token{})
	case 9: // a frozen engine resumes and sends on an earlier attachment
		old := rapid.SampledFrom(sim.executions).Draw(sim.t, "run")
		t := token(old, rapid.IntRange(0, len(old.tokens)-1).Draw(sim.t, "offset"))
		epoch := rapid.SampledFrom(append(sim.oldEpochs, 0)).Draw(sim.t, "epoch")
		require.Equal(sim.t, StepIgnore, sim.machine.HandleToken(epoch, t).Kind)
	case 10: // a token of another stream
		t := engine.Token{Generation: "foreign", Offset: len(sim.machine.Tokens()), Text: "foreign"}
		sim.applyStep(sim.machine.HandleToken(sim.epoch, t), t)
	case 11, 12, 13, 14:
		failure := Failure(rapid.IntRange(int(FailureNotSent), int(FailureProtocol)).Draw(sim.t, "failure"))
		sim.applyStep(sim.machine.HandleFailure(sim.epoch, failure), engine.Token{})
	}
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, options: Options{
		Limits:             DefaultLimits(),
		Generation:         "g0",
		ContinueFromPrefix: rapid.Bool().Draw(t, "continue from prefix"),
		NonStreaming:       rapid.Bool().Draw(t, "non-streaming"),
		PromptUnknown:      rapid.Bool().Draw(t, "prompt unknown"),
	}}
	sim.current = sim.newExecution("g0", nil)
	if rapid.Bool().Draw(t, "resumed") {
		sim.options.DeliveredTokens = rapid.IntRange(0, len(sim.current.tokens)).Draw(t, "delivered")
		sim.options.NonStreaming = false
		sim.options.MayHaveRun = true
		if sim.options.DeliveredTokens > 0 {
			sim.receivedGeneration = "g0"
		}
	}
	sim.machine = New(sim.options)
	sim.attach(0)
	return sim
}

// Under random failures, duplicates, gaps and tokens of other streams and earlier
// attachments, the caller gets each token once, in order, and from one execution.
func TestTokensAreDeliveredOnceFromOneExecution(t *testing.T) {
	finished := 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		alreadyDelivered := append([]string(nil), sim.current.tokens[:sim.options.DeliveredTokens]...)
		for step := 0; sim.finalStep.Kind == StepIgnore; step++ {
			require.Less(rt, step, 2000, "the stream doesn't end")
			sim.drawEvent()
			if !sim.options.NonStreaming {
				all := append(append([]string(nil), alreadyDelivered...), sim.received...)
				require.True(rt, sim.isPrefixOfOneExecution(all), "tokens of two executions: %v", all)
			}
		}
		if sim.finalStep.Kind != StepFinish {
			require.NotEqual(rt, ReasonNone, sim.finalStep.Reason)
			return
		}
		finished++
		require.Equal(rt, sim.current.tokens, sim.machine.Tokens())
		if !sim.options.NonStreaming {
			require.Equal(rt, sim.current.tokens, append(alreadyDelivered, sim.received...))
		}
	})
	require.NotZero(t, finished)
}

// isPrefixOfOneExecution reports whether the tokens are a prefix of a single execution.
func (sim *simulation) isPrefixOfOneExecution(tokens []string) bool {
	for _, e := range sim.executions {
		if len(tokens) <= len(e.tokens) && fmt.Sprint(e.tokens[:len(tokens)]) == fmt.Sprint(tokens) {
			return true
		}
	}
	return false
}

func TestStreamFailsAfterMaxCrashes(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", NonStreaming: true, ContinueFromPrefix: true})
	crashes := 0
	for {
		epoch := m.BeginAttachment()
		m.AttachmentAccepted(epoch)
		step := m.HandleFailure(epoch, FailureConnectionLost)
		require.Equal(t, StepAttach, step.Kind)
		crashes++
		step = m.HandleFailure(m.BeginAttachment(), FailureCrashed)
		if step.Kind == StepFail {
			require.Equal(t, ReasonRepeatedCrashes, step.Reason)
			break
		}
		m.Restart(fmt.Sprint("g", crashes))
	}
	require.Equal(t, DefaultLimits().Crashes, crashes)
}

func TestFailoverAfterStallAndFailedReattachments(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", ContinueFromPrefix: true})
	epoch := m.BeginAttachment()
	m.AttachmentAccepted(epoch)
	require.Equal(t, StepAccept, m.HandleToken(epoch, engine.Token{Generation: "g", Text: "a"}).Kind)
	require.Equal(t, Step{Kind: StepAttach}, m.HandleFailure(epoch, FailureStalled))
	require.Equal(t, Step{Kind: StepAttach}, m.HandleFailure(m.BeginAttachment(), FailureConnectionLost))
	require.Equal(t, Step{Kind: StepAttach}, m.HandleFailure(m.BeginAttachment(), FailureConnectionLost))
	require.Equal(t, Step{Kind: StepContinue, CancelGeneration: true, MayReturn: true}, m.HandleFailure(m.BeginAttachment(), FailureConnectionLost))
	require.Equal(t, []string{"a"}, m.Tokens())
}

func TestUnresponsiveEngineFailsOverAtOnceIfPossible(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", ContinueFromPrefix: true})
	epoch := m.BeginAttachment()
	m.AttachmentAccepted(epoch)
	require.Equal(t, StepAccept, m.HandleToken(epoch, engine.Token{Generation: "g", Text: "a"}).Kind)
	require.Equal(t, StepContinue, m.HandleFailure(epoch, FailureUnresponsive).Kind)

	m = New(Options{Limits: DefaultLimits(), Generation: "g"})
	epoch = m.BeginAttachment()
	m.AttachmentAccepted(epoch)
	require.Equal(t, StepAccept, m.HandleToken(epoch, engine.Token{Generation: "g", Text: "a"}).Kind)
	require.Equal(t, StepAttach, m.HandleFailure(epoch, FailureUnresponsive).Kind, "no other engine can continue")
}

func TestStreamSurvivesManySilencesWithTokensBetweenThem(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", ContinueFromPrefix: true})
	for offset := range 3 * DefaultLimits().Failovers {
		epoch := m.BeginAttachment()
		m.AttachmentAccepted(epoch)
		for known := m.Offset(); known < offset; known++ {
			require.Equal(t, StepIgnore, m.HandleToken(epoch, engine.Token{Generation: "g", Offset: known, Text: "a"}).Kind)
		}
		require.Equal(t, StepAccept, m.HandleToken(epoch, engine.Token{Generation: "g", Offset: offset, Text: "a"}).Kind)
		require.Equal(t, StepAttach, m.HandleFailure(epoch, FailureStalled).Kind)
		step := m.HandleFailure(m.BeginAttachment(), FailureUnresponsive)
		require.Equalf(t, StepContinue, step.Kind, "silence %d", offset)
	}
	for moved := 1; ; moved++ {
		step := m.HandleFailure(m.BeginAttachment(), FailureUnresponsive)
		if step.Kind == StepFail {
			require.Equal(t, ReasonRetriesExhausted, step.Reason)
			return
		}
		require.LessOrEqual(t, moved, DefaultLimits().Failovers, "without a token")
	}
}

func TestReturnsToSilentEngineAreBounded(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", ContinueFromPrefix: true})
	epoch := m.BeginAttachment()
	m.AttachmentAccepted(epoch)
	require.Equal(t, StepAccept, m.HandleToken(epoch, engine.Token{Generation: "g", Text: "a"}).Kind)
	for range DefaultLimits().LastEngineReattachments {
		require.Equal(t, Step{Kind: StepContinue, CancelGeneration: true, MayReturn: true}, m.HandleFailure(epoch, FailureUnresponsive))
		m.Return()
		epoch = m.BeginAttachment()
	}
	require.Equal(t, Step{Kind: StepContinue, CancelGeneration: true}, m.HandleFailure(epoch, FailureUnresponsive))
}

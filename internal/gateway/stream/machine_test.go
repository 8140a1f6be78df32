package stream

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/engine"
)

// run is one execution of a generation on an engine. Its tokens name it, so that
// a splice of two executions is visible.
type run struct {
	generation string
	tokens     []string
	length     int
}

// world is a caller, the machine under test and the engines around it.
type world struct {
	t         *rapid.T
	machine   *Machine
	options   Options
	runs      []*run
	current   *run
	epoch     int
	sent      int // next offset that the attachment sends
	oldEpochs []int
	received  []string // by the caller
	genOf     string   // generation of the received tokens
	ended     Step
	restarts  int
}

func (w *world) newRun(generation string, prefix []string) *run {
	r := &run{generation: generation, length: rapid.IntRange(1, 12).Draw(w.t, "length")}
	r.length = max(r.length, len(prefix))
	r.tokens = append(r.tokens, prefix...)
	w.runs = append(w.runs, r)
	for i := len(prefix); i < r.length; i++ {
		r.tokens = append(r.tokens, fmt.Sprintf("%s-run%d-%d", generation, len(w.runs), i))
	}
	return r
}

func (w *world) attach(offset int) {
	w.oldEpochs = append(w.oldEpochs, w.epoch)
	w.epoch = w.machine.BeginAttachment()
	w.sent = offset
	if rapid.Bool().Draw(w.t, "accepted") {
		w.machine.AttachmentAccepted(w.epoch)
	}
}

// take does what a step asks for.
func (w *world) take(step Step, token engine.Token) {
	switch step.Kind {
	case StepAccept:
		if !w.options.NonStreaming && token.Offset >= w.options.DeliveredTokens {
			w.deliver(token)
		}
	case StepAttach:
		w.attach(w.machine.Offset())
	case StepContinue:
		w.current = w.continued()
		w.attach(0)
	case StepRestart:
		require.Empty(w.t, w.received, "a restart after tokens were delivered")
		w.restarts++
		w.machine.Restart(fmt.Sprint("g", w.restarts))
		w.current = w.newRun(w.machine.Generation(), nil)
		w.attach(0)
	case StepFinish, StepFail:
		w.ended = step
	}
}

// continued finds the engine that continues. It may hold a run of the same
// generation already, which another gateway continued from a shorter prefix.
func (w *world) continued() *run {
	generation, prefix := w.machine.Generation(), w.machine.Tokens()
	if rapid.IntRange(0, 3).Draw(w.t, "other gateway was there") == 0 {
		cut := rapid.IntRange(0, len(prefix)).Draw(w.t, "its prefix")
		return w.newRun(generation, prefix[:cut])
	}
	return w.newRun(generation, prefix)
}

func (w *world) deliver(token engine.Token) {
	require.Equal(w.t, len(w.received)+w.options.DeliveredTokens, token.Offset, "order")
	if w.genOf != "" {
		require.Equal(w.t, w.genOf, token.Generation, "two generations")
	}
	w.genOf = token.Generation
	w.received = append(w.received, token.Text)
}

// event draws what happens next.
func (w *world) event() {
	token := func(r *run, offset int) engine.Token {
		return engine.Token{Generation: r.generation, Offset: offset, Text: r.tokens[offset]}
	}
	switch rapid.IntRange(0, 15).Draw(w.t, "event") {
	default: // the stream goes on
		if w.sent >= len(w.current.tokens) {
			done := engine.Done{Generation: w.current.generation, Tokens: len(w.current.tokens)}
			w.take(w.machine.HandleDone(w.epoch, done), engine.Token{})
			return
		}
		t := token(w.current, w.sent)
		w.sent++
		w.take(w.machine.HandleToken(w.epoch, t), t)
	case 7: // a duplicate
		t := token(w.current, rapid.IntRange(0, max(0, w.sent-1)).Draw(w.t, "offset"))
		w.take(w.machine.HandleToken(w.epoch, t), t)
	case 8: // a gap, or the end too early
		if w.sent+1 < len(w.current.tokens) {
			w.sent++
			return
		}
		w.take(w.machine.HandleDone(w.epoch, engine.Done{Generation: w.current.generation, Tokens: len(w.current.tokens) + 1}), engine.Token{})
	case 9: // a frozen engine wakes up
		old := rapid.SampledFrom(w.runs).Draw(w.t, "run")
		t := token(old, rapid.IntRange(0, len(old.tokens)-1).Draw(w.t, "offset"))
		epoch := rapid.SampledFrom(append(w.oldEpochs, 0)).Draw(w.t, "epoch")
		require.Equal(w.t, StepIgnore, w.machine.HandleToken(epoch, t).Kind)
	case 10: // a crossed stream
		t := engine.Token{Generation: "foreign", Offset: len(w.machine.Tokens()), Text: "foreign"}
		w.take(w.machine.HandleToken(w.epoch, t), t)
	case 11, 12, 13, 14:
		failure := Failure(rapid.IntRange(int(FailureNotSent), int(FailureProtocol)).Draw(w.t, "failure"))
		w.take(w.machine.HandleFailure(w.epoch, failure), engine.Token{})
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, options: Options{
		Limits:             DefaultLimits(),
		Generation:         "g0",
		ContinueFromPrefix: rapid.Bool().Draw(t, "may continue"),
		NonStreaming:       rapid.Bool().Draw(t, "whole answer"),
		PromptUnknown:      rapid.Bool().Draw(t, "fixed"),
	}}
	w.current = w.newRun("g0", nil)
	if rapid.Bool().Draw(t, "resumed") {
		w.options.DeliveredTokens = rapid.IntRange(0, len(w.current.tokens)).Draw(t, "delivered")
		w.options.NonStreaming = false
		w.options.MayHaveRun = true
		if w.options.DeliveredTokens > 0 {
			w.genOf = "g0"
		}
	}
	w.machine = New(w.options)
	w.attach(0)
	return w
}

func TestCallerGetsEachTokenOnceFromOneGeneration(t *testing.T) {
	finished := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		held := append([]string(nil), w.current.tokens[:w.options.DeliveredTokens]...)
		for step := 0; w.ended.Kind == StepIgnore; step++ {
			require.Less(rt, step, 2000, "the stream never ends")
			w.event()
			if !w.options.NonStreaming {
				all := append(append([]string(nil), held...), w.received...)
				require.True(rt, w.fromOneRun(all), "tokens of two runs: %v", all)
			}
		}
		if w.ended.Kind != StepFinish {
			require.NotEqual(rt, ReasonNone, w.ended.Reason)
			return
		}
		finished++
		require.Equal(rt, w.current.tokens, w.machine.Tokens())
		if !w.options.NonStreaming {
			require.Equal(rt, w.current.tokens, append(held, w.received...))
		}
	})
	require.NotZero(t, finished)
}

// fromOneRun tells whether the tokens are the beginning of a single run.
func (w *world) fromOneRun(tokens []string) bool {
	for _, r := range w.runs {
		if len(tokens) <= len(r.tokens) && fmt.Sprint(r.tokens[:len(tokens)]) == fmt.Sprint(tokens) {
			return true
		}
	}
	return false
}

func TestCrashesAreBoundedAsLastResort(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", NonStreaming: true, ContinueFromPrefix: true})
	lost := 0
	for {
		epoch := m.BeginAttachment()
		m.AttachmentAccepted(epoch)
		step := m.HandleFailure(epoch, FailureConnectionLost)
		require.Equal(t, StepAttach, step.Kind)
		lost++
		step = m.HandleFailure(m.BeginAttachment(), FailureCrashed)
		if step.Kind == StepFail {
			require.Equal(t, ReasonRepeatedCrashes, step.Reason)
			break
		}
		m.Restart(fmt.Sprint("g", lost))
	}
	require.Equal(t, DefaultLimits().Crashes, lost)
}

func TestStalledEngineIsLeftAfterFailedAttachments(t *testing.T) {
	m := New(Options{Limits: DefaultLimits(), Generation: "g", ContinueFromPrefix: true})
	epoch := m.BeginAttachment()
	m.AttachmentAccepted(epoch)
	require.Equal(t, StepAccept, m.HandleToken(epoch, engine.Token{Generation: "g", Text: "a"}).Kind)
	require.Equal(t, Step{Kind: StepAttach}, m.HandleFailure(epoch, FailureStalled))
	require.Equal(t, Step{Kind: StepAttach}, m.HandleFailure(m.BeginAttachment(), FailureConnectionLost))
	require.Equal(t, Step{Kind: StepAttach}, m.HandleFailure(m.BeginAttachment(), FailureConnectionLost))
	require.Equal(t, Step{Kind: StepContinue, CancelPrevious: true}, m.HandleFailure(m.BeginAttachment(), FailureConnectionLost))
	require.Equal(t, []string{"a"}, m.Tokens())
}

func TestSilentEngineIsLeftAtOnceIfAnotherCanTakeOver(t *testing.T) {
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

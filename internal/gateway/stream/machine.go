// Package stream decides how a caller gets each token of one generation exactly once
// and in order, although connections are lost and engines fail.
//
// A Machine is a pure state machine: it does no I/O and reads no clock. The runner
// attaches to engines, feeds what it reads to the machine and carries out the returned
// steps. Inputs carry the epoch of their attachment; those of an earlier epoch are
// ignored, so that a frozen engine that resumes has no effect.
package stream

import "corianderhitch/api/engine"

// Limits bounds the attempts for one request.
type Limits struct {
	// Reattachments is the number of new attachments to an engine without a new token
	// after which the request fails over.
	Reattachments int
	// LastEngineReattachments is the same where no other engine can take over.
	LastEngineReattachments int
	// Failovers is the number of times that a request that may have run moves to
	// another engine. Moves away from silent engines are counted apart, since the last
	// new token: a sound engine may fall silent at any time.
	Failovers int
	// Crashes is the number of engines that may crash while they run the request; the
	// stream fails at the last of them. It is the last resort: owners of pools reject a
	// request earlier if they can determine that it, and not one of its co-residents,
	// causes the crashes.
	Crashes int
	// Rejections is the number of times that engines may reject the request or be
	// unreachable.
	Rejections int
}

// DefaultLimits returns the limits of the gateway. The limit of crashes allows for
// engine crashes that the request does not cause; the owner of the pool rejects a
// request that causes crashes after two.
func DefaultLimits() Limits {
	return Limits{Reattachments: 2, LastEngineReattachments: 20, Failovers: 4, Crashes: 4, Rejections: 6}
}

// Options are the properties of a stream.
type Options struct {
	Limits     Limits
	Generation string
	// ContinueFromPrefix states that another engine may continue the generation from
	// the tokens so far.
	ContinueFromPrefix bool
	// NonStreaming states that the caller gets the whole answer at the end, so that
	// the request can be restarted at any time.
	NonStreaming bool
	// MayHaveRun states that an engine may already have run part of the generation.
	MayHaveRun bool
	// PromptUnknown states that this gateway does not know the prompt, so that no
	// other engine can take over.
	PromptUnknown bool
	// DeliveredTokens is the number of tokens that the caller already has.
	DeliveredTokens int
}

// Machine holds the state of one stream. It is not safe for concurrent use.
type Machine struct {
	options    Options
	generation string
	epoch      int
	tokens     []string // tokens [0, len) of the generation
	confirmed  int      // tokens [0, confirmed) are confirmed to be the same on this engine
	nextOffset int      // offset of the next token of this attachment
	mayHaveRun bool     // an engine may have run part of it
	ended      bool

	failures   int // consecutive failed attachments
	failovers  int
	silences   int // failovers from silent engines since the last new token
	crashes    int
	rejections int
	left       position // at the last failover
}

// position is what a failover changes of a stream's state at its engine.
type position struct{ confirmed, failures, failovers, silences int }

// New returns a Machine before its first attachment.
func New(options Options) *Machine {
	return &Machine{options: options, generation: options.Generation, mayHaveRun: options.MayHaveRun}
}

// Generation returns the id of the generation.
func (m *Machine) Generation() string { return m.generation }

// Tokens returns the tokens known so far. The caller must not change them.
func (m *Machine) Tokens() []string { return m.tokens }

// verifiedOverlap is the number of known tokens that an attachment reads again, so that
// an engine that has other tokens under the same generation id is detected.
const verifiedOverlap = 16

// Offset returns the offset from which the next attachment reads. An engine that
// continues from a prefix is read from the start, since another gateway may have
// continued the generation there from a shorter prefix.
func (m *Machine) Offset() int { return max(0, m.confirmed-verifiedOverlap) }

// MayHaveRun reports whether an engine may have run the request.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun }

// BeginAttachment begins a new attachment at Offset and returns its epoch.
func (m *Machine) BeginAttachment() int {
	m.epoch++
	m.nextOffset = m.Offset()
	return m.epoch
}

// AttachmentAccepted records that the engine has accepted the attachment.
func (m *Machine) AttachmentAccepted(epoch int) {
	if epoch == m.epoch {
		m.mayHaveRun = true
	}
}

// Restart begins a new generation after StepRestart.
func (m *Machine) Restart(generation string) {
	m.generation = generation
	m.tokens = nil
	m.confirmed = 0
}

// Return undoes a failover whose step has MayReturn set, so that the next attachment is to
// the engine that was to be left.
func (m *Machine) Return() {
	m.confirmed, m.failures = m.left.confirmed, m.left.failures
	m.failovers, m.silences = m.left.failovers, m.left.silences
}

// AdoptGeneration replaces the machine's generation by one that already runs. Call it
// only before the first attachment.
func (m *Machine) AdoptGeneration(generation string) {
	m.generation = generation
	m.mayHaveRun = true
}

// HandleToken processes a token that the engine sent.
func (m *Machine) HandleToken(epoch int, token engine.Token) Step {
	if epoch != m.epoch || m.ended {
		return Step{Kind: StepIgnore}
	}
	m.mayHaveRun = true
	if token.Generation != m.generation || token.Offset < 0 || token.Offset > m.nextOffset {
		return m.HandleFailure(epoch, FailureProtocol) // a token of another stream or a gap
	}
	if token.Offset == len(m.tokens) {
		m.failures, m.silences = 0, 0
		m.tokens = append(m.tokens, token.Text)
		m.advance()
		return Step{Kind: StepAccept}
	}
	if m.tokens[token.Offset] != token.Text {
		return m.handleMismatch()
	}
	if token.Offset == m.nextOffset {
		m.advance()
	}
	return Step{Kind: StepIgnore}
}

// advance moves past the token at nextOffset, which this engine has confirmed.
func (m *Machine) advance() {
	m.nextOffset++
	m.confirmed = max(m.confirmed, m.nextOffset)
}

// HandleDone processes the end of the generation.
func (m *Machine) HandleDone(epoch int, done engine.Done) Step {
	if epoch != m.epoch || m.ended {
		return Step{Kind: StepIgnore}
	}
	m.mayHaveRun = true
	switch {
	case done.Generation != m.generation, done.Tokens > m.nextOffset:
		return m.HandleFailure(epoch, FailureProtocol)
	case done.Tokens < len(m.tokens):
		return m.handleMismatch()
	}
	m.ended = true
	return Step{Kind: StepFinish}
}

// HandleFailure processes the failure of an attachment. Any later input of the same
// epoch is ignored.
func (m *Machine) HandleFailure(epoch int, failure Failure) Step {
	if epoch != m.epoch || m.ended {
		return Step{Kind: StepIgnore}
	}
	m.epoch++
	switch failure {
	case FailureRejected, FailureNotSent:
		return m.handleRejection(failure)
	case FailureCrashed:
		return m.handleCrash()
	case FailureEngineError:
		m.mayHaveRun = true
		return m.failOver(true)
	case FailureUnresponsive:
		return m.handleUnresponsive()
	case FailureStalled: // the engine is alive; the runner bounds the wait
		m.mayHaveRun = true
		return Step{Kind: StepAttach}
	default:
		return m.handleConnectionLoss()
	}
}

// handleRejection handles an engine that certainly did not run the request on this
// attachment.
func (m *Machine) handleRejection(failure Failure) Step {
	m.rejections++
	if m.rejections > m.options.Limits.Rejections {
		return m.fail(ReasonRetriesExhausted)
	}
	if m.mayHaveRun && failure == FailureNotSent {
		return m.handleConnectionLoss()
	}
	return m.failOver(m.mayHaveRun)
}

// handleCrash fails over from an engine that crashed. A crash counts only if the engine
// may have run the request.
func (m *Machine) handleCrash() Step {
	if m.mayHaveRun {
		m.crashes++
	}
	if m.crashes >= m.options.Limits.Crashes {
		return m.fail(ReasonRepeatedCrashes)
	}
	return m.failOver(false)
}

// handleConnectionLoss attaches again until the limit of reattachments. Bytes may have
// been sent, so the engine may be running the request.
func (m *Machine) handleConnectionLoss() Step {
	m.mayHaveRun = true
	m.failures++
	limit := m.options.Limits.Reattachments
	if !m.canFailOver() {
		limit = m.options.Limits.LastEngineReattachments
	}
	if m.failures <= limit {
		return Step{Kind: StepAttach}
	}
	return m.leaveSilent()
}

// handleUnresponsive fails over from a frozen or unreachable engine at once if another
// can take over: another attachment to it would only lengthen the caller's stall.
func (m *Machine) handleUnresponsive() Step {
	if !m.canFailOver() {
		return m.handleConnectionLoss()
	}
	m.mayHaveRun = true
	m.failures++
	return m.leaveSilent()
}

// leaveSilent fails over from an engine that may still run the generation. The stream may
// return to it until the limit of reattachments.
func (m *Machine) leaveSilent() Step {
	mayReturn := m.failures <= m.options.Limits.LastEngineReattachments
	m.setLeft()
	m.silences++
	if m.silences > m.options.Limits.Failovers {
		return m.fail(ReasonRetriesExhausted)
	}
	step := m.moveOn(true)
	step.MayReturn = mayReturn && step.Kind != StepFail
	return step
}

// failOver moves to another engine, which continues the generation or restarts the
// request. cancel states that the generation may still run on the current engine.
func (m *Machine) failOver(cancel bool) Step {
	if m.mayHaveRun {
		m.failovers++
	}
	if m.failovers > m.options.Limits.Failovers {
		return m.fail(ReasonRetriesExhausted)
	}
	return m.moveOn(cancel)
}

// setLeft records what Return restores.
func (m *Machine) setLeft() {
	m.left = position{confirmed: m.confirmed, failures: m.failures, failovers: m.failovers, silences: m.silences}
}

// moveOn is failOver without its limit.
func (m *Machine) moveOn(cancel bool) Step {
	m.failures = 0
	switch {
	case m.canContinueElsewhere():
		m.confirmed = 0
		return Step{Kind: StepContinue, CancelGeneration: cancel}
	case m.canRestart():
		return Step{Kind: StepRestart, CancelGeneration: cancel}
	default:
		return m.fail(ReasonGenerationLost)
	}
}

// canContinueElsewhere reports whether another engine may continue the generation from
// the known tokens.
func (m *Machine) canContinueElsewhere() bool {
	known := len(m.tokens) > 0 && len(m.tokens) >= m.options.DeliveredTokens
	return known && m.options.ContinueFromPrefix && !m.options.PromptUnknown
}

// canFailOver reports whether another engine may take over.
func (m *Machine) canFailOver() bool { return m.canContinueElsewhere() || m.canRestart() }

// handleMismatch handles an engine whose tokens differ from the known ones.
func (m *Machine) handleMismatch() Step {
	m.epoch++
	if !m.canRestart() {
		return m.fail(ReasonTokenMismatch)
	}
	m.failovers++
	if m.failovers > m.options.Limits.Failovers {
		return m.fail(ReasonRetriesExhausted)
	}
	return Step{Kind: StepRestart, CancelGeneration: true}
}

// canRestart reports whether the request may be run again as a new generation: the
// prompt is known and the caller has received no token.
func (m *Machine) canRestart() bool {
	if m.options.DeliveredTokens > 0 || m.options.PromptUnknown {
		return false
	}
	return m.options.NonStreaming || len(m.tokens) == 0
}

// fail ends the stream.
func (m *Machine) fail(reason Reason) Step {
	m.ended = true
	return Step{Kind: StepFail, Reason: reason, CancelGeneration: m.mayHaveRun}
}

// Package stream decides how a caller gets each token of one generation exactly
// once and in order, while connections break and engines go away.
//
// A Machine is a pure state machine: it does no I/O and reads no clock. The I/O
// side attaches to engines, feeds what it sees and does what Step says. Inputs
// carry the epoch of their attachment; those of an old one are ignored, so that
// a frozen engine that wakes up adds nothing.
package stream

import "corianderhitch/api/engine"

// Limits bounds the effort for one request.
type Limits struct {
	// Reattach is the number of attachments without a new token after which an
	// engine counts as gone.
	Reattachments int
	// Patience is the same where no other engine can take over.
	LastEngineReattachments int
	// Moves is the number of times that the request goes to another engine.
	Failovers int
	// Crashes is the number of engines that may die while they run the request.
	// It is the last resort: owners of pools refuse a request earlier when they
	// can tell it from those that ran beside it.
	Crashes int
	// Refusals is the number of engines that may refuse or not be reachable
	// before one runs the request.
	Rejections int
}

// DefaultLimits are the limits of the gateway. The bound of crashes leaves room
// for unrelated deaths of engines under one request; the owner of the pool refuses
// a request that causes them after two.
func DefaultLimits() Limits {
	return Limits{Reattachments: 2, LastEngineReattachments: 20, Failovers: 4, Crashes: 4, Rejections: 6}
}

// Options describe a stream.
type Options struct {
	Limits     Limits
	Generation string
	// MayContinue states that another engine may continue from the prefix.
	ContinueFromPrefix bool
	// WholeAnswer states that the caller gets nothing before the end, so that a
	// restart is invisible at any time.
	NonStreaming bool
	// Ran states that an engine may have run some of the generation already.
	MayHaveRun bool
	// Fixed states that the request cannot go to another engine, since its
	// prompt is not known here.
	PromptUnknown bool
	// Delivered is the number of tokens that the caller holds already.
	DeliveredTokens int
}

// Machine holds the state of one stream. It is not safe for concurrent use.
type Machine struct {
	options    Options
	generation string
	epoch      int
	tokens     []string // tokens [0, len) of the generation
	confirmed  int      // tokens [0, confirmed) are known to be the same on this engine
	cursor     int      // offset that this attachment sends next
	ran        bool     // an engine may have run some of it
	over       bool

	failures int // failed attachments in a row
	moves    int
	crashes  int
	refusals int
}

// New returns a Machine before its first attachment.
func New(options Options) *Machine {
	return &Machine{options: options, generation: options.Generation, ran: options.MayHaveRun}
}

// Generation returns the id of the generation.
func (m *Machine) Generation() string { return m.generation }

// Tokens returns the tokens known so far. They must not be changed.
func (m *Machine) Tokens() []string { return m.tokens }

// overlap is the number of tokens that an attachment reads again, so that a run
// with other tokens under the same generation is noticed.
const overlap = 16

// Offset returns the offset that the next attachment asks for. An engine that
// continues from a prefix is read from the start, since another gateway may have
// continued the generation there from a shorter one.
func (m *Machine) Offset() int { return max(0, m.confirmed-overlap) }

// Ran tells whether an engine may have run the request.
func (m *Machine) MayHaveRun() bool { return m.ran }

// Attaching starts a new attachment from Offset and returns its epoch.
func (m *Machine) BeginAttachment() int {
	m.epoch++
	m.cursor = m.Offset()
	return m.epoch
}

// Attached tells that the engine has accepted the attachment.
func (m *Machine) AttachmentAccepted(epoch int) {
	if epoch == m.epoch {
		m.ran = true
	}
}

// Restarted names the new generation after StepRestart.
func (m *Machine) Restart(generation string) {
	m.generation = generation
	m.tokens = nil
	m.confirmed = 0
}

// Join takes the place of the own generation by one that runs already. It is
// called before the first attachment.
func (m *Machine) AdoptGeneration(generation string) {
	m.generation = generation
	m.ran = true
}

// Token takes a token.
func (m *Machine) HandleToken(epoch int, token engine.Token) Step {
	if epoch != m.epoch || m.over {
		return Step{Kind: StepIgnore}
	}
	m.ran = true
	if token.Generation != m.generation || token.Offset < 0 || token.Offset > m.cursor {
		return m.HandleFailure(epoch, FailureProtocol) // a crossed stream or a gap
	}
	if token.Offset == len(m.tokens) {
		m.failures = 0
		m.tokens = append(m.tokens, token.Text)
		m.advance()
		return Step{Kind: StepAccept}
	}
	if m.tokens[token.Offset] != token.Text {
		return m.mismatch()
	}
	if token.Offset == m.cursor {
		m.advance()
	}
	return Step{Kind: StepIgnore}
}

func (m *Machine) advance() {
	m.cursor++
	m.confirmed = max(m.confirmed, m.cursor)
}

// Done takes the end of the generation.
func (m *Machine) HandleDone(epoch int, done engine.Done) Step {
	if epoch != m.epoch || m.over {
		return Step{Kind: StepIgnore}
	}
	m.ran = true
	switch {
	case done.Generation != m.generation, done.Tokens > m.cursor:
		return m.HandleFailure(epoch, FailureProtocol)
	case done.Tokens < len(m.tokens):
		return m.mismatch()
	}
	m.over = true
	return Step{Kind: StepFinish}
}

// Failed takes the end of an attachment. Any later input of the same epoch is
// ignored.
func (m *Machine) HandleFailure(epoch int, failure Failure) Step {
	if epoch != m.epoch || m.over {
		return Step{Kind: StepIgnore}
	}
	m.epoch++
	switch failure {
	case FailureRejected, FailureNotSent:
		return m.refused(failure)
	case FailureCrashed:
		return m.died()
	case FailureEngineError:
		m.ran = true
		return m.move(true)
	case FailureUnresponsive:
		return m.silent()
	case FailureStalled: // the engine lives; the I/O side bounds the wait
		m.ran = true
		return Step{Kind: StepAttach}
	default:
		return m.broken()
	}
}

// refused handles an engine that surely did not run this attachment.
func (m *Machine) refused(failure Failure) Step {
	m.refusals++
	if m.refusals > m.options.Limits.Rejections {
		return m.fail(ReasonRetriesExhausted)
	}
	if m.ran && failure == FailureNotSent {
		return m.broken()
	}
	return m.move(m.ran)
}

func (m *Machine) died() Step {
	if m.ran {
		m.crashes++
	}
	if m.crashes >= m.options.Limits.Crashes {
		return m.fail(ReasonRepeatedCrashes)
	}
	return m.move(false)
}

// broken attaches again until the engine counts as gone. Bytes may have left, so
// the engine may run the request.
func (m *Machine) broken() Step {
	m.ran = true
	m.failures++
	limit := m.options.Limits.Reattachments
	if !m.movable() {
		limit = m.options.Limits.LastEngineReattachments
	}
	if m.failures <= limit {
		return Step{Kind: StepAttach}
	}
	return m.move(true)
}

// silent leaves a frozen or cut-off engine at once where another can take over:
// asking it again only lengthens the caller's stall.
func (m *Machine) silent() Step {
	if !m.movable() {
		return m.broken()
	}
	m.ran = true
	return m.move(true)
}

// move leaves the engine. Another one continues the generation or runs it again.
func (m *Machine) move(leave bool) Step {
	m.failures = 0
	if m.ran {
		m.moves++
	}
	if m.moves > m.options.Limits.Failovers {
		return m.fail(ReasonRetriesExhausted)
	}
	switch {
	case m.continuable():
		m.confirmed = 0
		return Step{Kind: StepContinue, CancelPrevious: leave}
	case m.invisible():
		return Step{Kind: StepRestart, CancelPrevious: leave}
	default:
		return m.fail(ReasonGenerationLost)
	}
}

// continuable tells whether another engine may continue from the known tokens.
func (m *Machine) continuable() bool {
	known := len(m.tokens) > 0 && len(m.tokens) >= m.options.DeliveredTokens
	return known && m.options.ContinueFromPrefix && !m.options.PromptUnknown
}

// movable tells whether another engine may take over.
func (m *Machine) movable() bool { return m.continuable() || m.invisible() }

// mismatch handles an engine that contradicts the tokens that are known.
func (m *Machine) mismatch() Step {
	m.epoch++
	if !m.invisible() {
		return m.fail(ReasonTokenMismatch)
	}
	m.moves++
	if m.moves > m.options.Limits.Failovers {
		return m.fail(ReasonRetriesExhausted)
	}
	return Step{Kind: StepRestart, CancelPrevious: true}
}

// invisible tells whether the caller has seen nothing of the generation yet.
func (m *Machine) invisible() bool {
	if m.options.DeliveredTokens > 0 || m.options.PromptUnknown {
		return false
	}
	return m.options.NonStreaming || len(m.tokens) == 0
}

func (m *Machine) fail(reason Reason) Step {
	m.over = true
	return Step{Kind: StepFail, Reason: reason, CancelPrevious: m.ran}
}

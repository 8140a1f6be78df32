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
	Reattach int
	// Patience is the same where no other engine can take over.
	Patience int
	// Moves is the number of times that the request goes to another engine.
	Moves int
	// Crashes is the number of engines that may die while they run the request.
	// It is the last resort: owners of pools refuse a request earlier when they
	// can tell it from those that ran beside it.
	Crashes int
	// Refusals is the number of engines that may refuse or not be reachable
	// before one runs the request.
	Refusals int
}

// DefaultLimits are the limits of the gateway. The bound of crashes leaves room
// for unrelated deaths of engines under one request; the owner of the pool refuses
// a request that causes them after two.
func DefaultLimits() Limits {
	return Limits{Reattach: 2, Patience: 20, Moves: 4, Crashes: 4, Refusals: 6}
}

// Options describe a stream.
type Options struct {
	Limits     Limits
	Generation string
	// MayContinue states that another engine may continue from the prefix.
	MayContinue bool
	// WholeAnswer states that the caller gets nothing before the end, so that a
	// restart is invisible at any time.
	WholeAnswer bool
	// Ran states that an engine may have run some of the generation already.
	Ran bool
	// Fixed states that the request cannot go to another engine, since its
	// prompt is not known here.
	Fixed bool
	// Delivered is the number of tokens that the caller holds already.
	Delivered int
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
	return &Machine{options: options, generation: options.Generation, ran: options.Ran}
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
func (m *Machine) Ran() bool { return m.ran }

// Attaching starts a new attachment from Offset and returns its epoch.
func (m *Machine) Attaching() int {
	m.epoch++
	m.cursor = m.Offset()
	return m.epoch
}

// Attached tells that the engine has accepted the attachment.
func (m *Machine) Attached(epoch int) {
	if epoch == m.epoch {
		m.ran = true
	}
}

// Restarted names the new generation after StepRestart.
func (m *Machine) Restarted(generation string) {
	m.generation = generation
	m.tokens = nil
	m.confirmed = 0
}

// Join takes the place of the own generation by one that runs already. It is
// called before the first attachment.
func (m *Machine) Join(generation string) {
	m.generation = generation
	m.ran = true
}

// Token takes a token.
func (m *Machine) Token(epoch int, token engine.Token) Step {
	if epoch != m.epoch || m.over {
		return Step{Kind: StepIgnore}
	}
	m.ran = true
	if token.Generation != m.generation || token.Offset < 0 || token.Offset > m.cursor {
		return m.Failed(epoch, FailureProtocol) // a crossed stream or a gap
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
func (m *Machine) Done(epoch int, done engine.Done) Step {
	if epoch != m.epoch || m.over {
		return Step{Kind: StepIgnore}
	}
	m.ran = true
	switch {
	case done.Generation != m.generation, done.Tokens > m.cursor:
		return m.Failed(epoch, FailureProtocol)
	case done.Tokens < len(m.tokens):
		return m.mismatch()
	}
	m.over = true
	return Step{Kind: StepFinish}
}

// Failed takes the end of an attachment. Any later input of the same epoch is
// ignored.
func (m *Machine) Failed(epoch int, failure Failure) Step {
	if epoch != m.epoch || m.over {
		return Step{Kind: StepIgnore}
	}
	m.epoch++
	switch failure {
	case FailureRefused, FailureNotSent:
		return m.refused(failure)
	case FailureDied:
		return m.died()
	case FailureEngine:
		m.ran = true
		return m.move(true)
	case FailureSilent:
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
	if m.refusals > m.options.Limits.Refusals {
		return m.fail(ReasonRetries)
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
		return m.fail(ReasonCrash)
	}
	return m.move(false)
}

// broken attaches again until the engine counts as gone. Bytes may have left, so
// the engine may run the request.
func (m *Machine) broken() Step {
	m.ran = true
	m.failures++
	limit := m.options.Limits.Reattach
	if !m.movable() {
		limit = m.options.Limits.Patience
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
	if m.moves > m.options.Limits.Moves {
		return m.fail(ReasonRetries)
	}
	switch {
	case m.continuable():
		m.confirmed = 0
		return Step{Kind: StepContinue, Leave: leave}
	case m.invisible():
		return Step{Kind: StepRestart, Leave: leave}
	default:
		return m.fail(ReasonLost)
	}
}

// continuable tells whether another engine may continue from the known tokens.
func (m *Machine) continuable() bool {
	known := len(m.tokens) > 0 && len(m.tokens) >= m.options.Delivered
	return known && m.options.MayContinue && !m.options.Fixed
}

// movable tells whether another engine may take over.
func (m *Machine) movable() bool { return m.continuable() || m.invisible() }

// mismatch handles an engine that contradicts the tokens that are known.
func (m *Machine) mismatch() Step {
	m.epoch++
	if !m.invisible() {
		return m.fail(ReasonMismatch)
	}
	m.moves++
	if m.moves > m.options.Limits.Moves {
		return m.fail(ReasonRetries)
	}
	return Step{Kind: StepRestart, Leave: true}
}

// invisible tells whether the caller has seen nothing of the generation yet.
func (m *Machine) invisible() bool {
	if m.options.Delivered > 0 || m.options.Fixed {
		return false
	}
	return m.options.WholeAnswer || len(m.tokens) == 0
}

func (m *Machine) fail(reason Reason) Step {
	m.over = true
	return Step{Kind: StepFail, Reason: reason, Leave: m.ran}
}

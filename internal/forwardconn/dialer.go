package forwardconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/forwarding"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/outbound"
	"corianderhitch/internal/rpcconn"
)

// ErrCutOff means that this host reaches no target of the service and no helper could connect it, so
// that nothing is known of the target. Nothing was sent.
var ErrCutOff = eris.New("forwarding: this host reaches no target of the service and no other host could connect it; try again later")

const (
	// askTimeout bounds the time for one helper, from the connection to it to its answer.
	askTimeout = 400 * time.Millisecond
	// maxDirectDial is how long a connection to a target may take before a helper is asked too.
	maxDirectDial = 250 * time.Millisecond
	// doubtLifetime is how long helpers are asked first for a target after a connection of this host to it
	// has failed.
	doubtLifetime = 2 * time.Second
	// secondOpinionInterval separates questions to helpers about a target that none of them reached.
	secondOpinionInterval = time.Second
	// maxRemembered bounds the memory for targets that failed.
	maxRemembered = 1024
)

// Targets is what a Dialer knows of the targets.
type Targets interface {
	// Service returns the service of the target at ip:port, "" if there is none.
	Service(address string) string
	// Addresses returns the addresses of a service's targets.
	Addresses(service string) []string
}

// Options are the settings of a Dialer.
type Options struct {
	Direct  outbound.DialFunc // opens connections to targets
	Targets Targets
	// Helpers returns the addresses of the agents of the other hosts.
	Helpers func() []string
	Agent   rpcconn.Dialer // opens connections to agents
	// CloseIdle closes idle connections. They may hang once this host has lost its way to the targets,
	// or lead by way of other hosts once it has regained it.
	CloseIdle func()
	Log       *slog.Logger
}

// Dialer opens connections to targets, by way of other hosts while this one can't. It is safe for
// concurrent use.
type Dialer struct {
	options Options
	helpers *forwarding.Helpers
	waits   waits
	// forwarded counts the open connections by way of other hosts.
	forwarded atomic.Int64

	mu        sync.Mutex
	detectors map[string]*forwarding.Detector // guarded by mu; by service
	unreached map[string]bootclock.Instant    // guarded by mu; by address, when a helper last did not reach it
	failed    map[string]bootclock.Instant    // guarded by mu; by address, when a connection of this host last failed
}

// New returns a Dialer. Run looks after its detectors.
func New(o Options) *Dialer {
	return &Dialer{options: o, helpers: forwarding.NewHelpers(), detectors: make(map[string]*forwarding.Detector),
		unreached: make(map[string]bootclock.Instant), failed: make(map[string]bootclock.Instant)}
}

// DialContext is an outbound.DialFunc.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	service := d.options.Targets.Service(address)
	if service == "" {
		return d.options.Direct(ctx, network, address)
	}
	if !d.detector(service).CutOff() && !d.inDoubt(address) {
		return d.dialWithSecondOpinion(ctx, service, address)
	}
	conn, helperErr := d.askHelpers(ctx, address)
	if helperErr == nil || errors.Is(helperErr, errNotReached) {
		return conn, helperErr
	}
	conn, err := d.dial(ctx, service, address)
	return conn, d.explain(service, err, helperErr)
}

// explain returns the error of a connection that neither this host nor a helper could open.
func (d *Dialer) explain(service string, err, helperErr error) error {
	if err != nil && errors.Is(helperErr, errNoHelper) && d.detector(service).CutOff() && len(d.options.Helpers()) > 0 {
		return eris.Wrap(ErrCutOff, err.Error())
	}
	return err
}

// Errors of helpers.
var (
	// errNotReached means that a helper reaches other targets, but not this one.
	errNotReached = eris.New("forwarding: another host doesn't reach the target either; try another one")
	// errNoHelper means that no helper could tell.
	errNoHelper = eris.New("forwarding: no other host could connect")
)

// CutOff reports whether this host doesn't reach the targets of the service of the one at ip:port.
func (d *Dialer) CutOff(address string) bool {
	service := d.options.Targets.Service(address)
	return service != "" && d.detector(service).CutOff()
}

// dialed is the outcome of one of two attempts to connect.
type dialed struct {
	conn   net.Conn
	err    error
	direct bool
}

// dialWithSecondOpinion connects to a target. If this fails or takes long, helpers are asked: they tell
// a target that is down from a way that is cut.
func (d *Dialer) dialWithSecondOpinion(ctx context.Context, service, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialed, 2)
	go func() {
		conn, err := d.dial(ctx, service, address)
		results <- dialed{conn, err, true}
	}()
	pending := 1
	defer func() {
		cancel()
		go closeLate(results, pending)
	}()
	askHelpers := sync.OnceFunc(func() {
		if d.worthAsking(address) {
			pending++
			go func() {
				conn, err := d.askHelpers(ctx, address)
				results <- dialed{conn, err, false}
			}()
		}
	})
	slow := time.NewTimer(maxDirectDial)
	defer slow.Stop()
	var err, helperErr error
	for pending > 0 {
		select {
		case <-slow.C:
			askHelpers()
		case r := <-results:
			pending--
			switch {
			case r.err == nil:
				if !r.direct && err == nil {
					d.observe(service, address, false) // the direct attempt hangs
				}
				return r.conn, nil
			case r.direct:
				err = r.err
				askHelpers()
			default:
				helperErr = r.err
			}
		}
	}
	return nil, d.explain(service, err, helperErr)
}

// closeLate closes connections that are opened after another attempt has succeeded.
func closeLate(results <-chan dialed, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// dial connects to a target without a helper and records whether that succeeded.
func (d *Dialer) dial(ctx context.Context, service, address string) (net.Conn, error) {
	conn, err := d.options.Direct(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() == nil {
			d.observe(service, address, false)
		}
		return nil, err
	}
	return &observedConn{Conn: conn, waits: &d.waits, opened: func(usable bool) { d.observe(service, address, usable) }}, nil
}

// observe records whether a connection of this host to a target could be opened and used.
func (d *Dialer) observe(service, address string, usable bool) {
	d.mu.Lock()
	if usable {
		delete(d.failed, address)
	} else {
		note(d.failed, address)
	}
	d.mu.Unlock()
	d.detector(service).ObserveOpening(address, usable, len(d.options.Targets.Addresses(service)), bootclock.Now())
}

// note records the present time for an address. Callers hold mu.
func note(times map[string]bootclock.Instant, address string) {
	if len(times) >= maxRemembered {
		clear(times)
	}
	times[address] = bootclock.Now()
}

// inDoubt reports whether a connection of this host to a target has lately failed.
func (d *Dialer) inDoubt(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, failed := d.failed[address]
	return failed && bootclock.Since(at) < doubtLifetime && !lately(d.unreached, address)
}

// lately reports whether an address was noted within secondOpinionInterval. Callers hold mu.
func lately(times map[string]bootclock.Instant, address string) bool {
	at, noted := times[address]
	return noted && bootclock.Since(at) <= secondOpinionInterval
}

// worthAsking reports whether helpers may know more about a target than this host.
func (d *Dialer) worthAsking(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !lately(d.unreached, address)
}

// askHelpers asks helpers in turn to connect to a target, until one of them could tell. Errors match
// errNotReached or errNoHelper.
func (d *Dialer) askHelpers(ctx context.Context, address string) (net.Conn, error) {
	chosen, _ := d.helpers.Choose(d.options.Helpers(), bootclock.Now())
	for _, helper := range chosen {
		conn, outcome := d.askHelper(ctx, helper, address)
		if ctx.Err() != nil && conn == nil {
			break
		}
		d.helpers.Observe(helper, outcome, bootclock.Now())
		switch outcome {
		case targetconn.ForwardAnswered:
			d.forwarded.Add(1)
			d.options.Log.Debug("Connection opened by another host.", "target", address, "helper", helper)
			return &forwardedConn{Conn: conn, closed: sync.OnceFunc(func() { d.forwarded.Add(-1) })}, nil
		case targetconn.ForwardRefused:
			d.noteUnreached(address)
			return nil, &refusedError{helper}
		case targetconn.ForwardNotSent:
			d.noteUnreached(address)
			return nil, eris.Wrapf(errNotReached, "%s at %s", address, helper)
		}
	}
	return nil, eris.Wrapf(errNoHelper, "%s: %d asked", address, len(chosen))
}

// refusedError means that a helper found no process at a target's address. It matches errNotReached
// and syscall.ECONNREFUSED.
type refusedError struct{ helper string }

// Error implements error.
func (e *refusedError) Error() string {
	return errNotReached.Error() + ": connection refused at " + e.helper
}

// Is implements the matching of errors.Is.
func (e *refusedError) Is(target error) bool {
	return target == errNotReached || target == syscall.ECONNREFUSED //nolint:errorlint // compares sentinels
}

// askHelper asks one helper to connect to a target.
func (d *Dialer) askHelper(ctx context.Context, helper, address string) (net.Conn, targetconn.ForwardOutcome) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := d.options.Agent(ctx, helper)
	if err != nil {
		return nil, targetconn.ForwardUnreachable
	}
	outcome := ask(ctx, conn, address)
	if outcome != targetconn.ForwardAnswered {
		_ = conn.Close()
		return nil, outcome
	}
	return conn, outcome
}

func (d *Dialer) noteUnreached(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	note(d.unreached, address)
}

// detector returns the detector of a service.
func (d *Dialer) detector(service string) *forwarding.Detector {
	d.mu.Lock()
	defer d.mu.Unlock()
	detector := d.detectors[service]
	if detector == nil {
		detector = forwarding.NewDetector(func(cut bool, e forwarding.Evidence) { d.onChange(service, cut, e) })
		d.detectors[service] = detector
	}
	return detector
}

// onChange is called when this host has lost or regained its way to the targets of a service.
func (d *Dialer) onChange(service string, cut bool, e forwarding.Evidence) {
	if !cut {
		d.options.Log.Info("Host reaches the targets of a service again.", "service", service, "reached", e.Reached)
		return
	}
	d.options.Log.Warn("Host reaches no target of a service; other hosts are asked to connect it.", "service", service,
		"unreachable", e.Unreachable, "probe", e.Probe, "helpers", len(d.options.Helpers()))
	d.options.CloseIdle()
}

// Package ledger makes sure that a call that may not be repeated runs at most
// once. A gateway claims the call's key in the store by compare-and-swap before
// the first byte leaves for a target, and records the outcome after.
//
// A claim is never taken over. One without an outcome means that the call may
// have run; it is never dispatched again. See docs/design/002-call-ledger.md.
package ledger

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/storelease"
	"corianderhitch/internal/wait"
)

// Settings bound the ledger's effort.
type Settings struct {
	// ClaimTimeout bounds the wait for the store before a call is refused.
	ClaimTimeout time.Duration
	// DispatchWindow is how long after its claim an attempt may still be
	// dispatched. A gateway that was frozen longer gives its claim back.
	DispatchWindow time.Duration
	// SettleFor is how long releases and outcomes are retried after the caller
	// has its answer.
	RetryFor time.Duration
	// SettlePause separates these retries.
	RetryInterval time.Duration
	// MaxSettling bounds the number of them at once.
	MaxBackgroundWrites int
}

// DefaultSettings returns the settings of the gateway.
func DefaultSettings() Settings {
	return Settings{
		ClaimTimeout:        1 * time.Second,
		DispatchWindow:      5 * time.Second,
		RetryFor:            10 * time.Minute,
		RetryInterval:       250 * time.Millisecond,
		MaxBackgroundWrites: 4096,
	}
}

// Ledger claims calls. It is safe for concurrent use.
type Ledger struct {
	store    platform.Store
	host     string
	settings Settings
	newID    func() string
	leases   *storelease.Leases
	log      *slog.Logger
	seen     *seen
	hint     DispatchRecorder // nil for none

	settling chan struct{} // one element a running task
	mu       sync.Mutex
	closed   bool // guarded by mu
	tasks    sync.WaitGroup
	life     context.Context
	stop     context.CancelFunc
}

// New returns a Ledger of a host. Retention returns how long records are kept;
// newID makes attempt ids; hint may be nil. Call Stop at the end.
func New(store platform.Store, host string, retention func() time.Duration, newID func() string, hint DispatchRecorder, settings Settings, log *slog.Logger) *Ledger {
	life, stop := context.WithCancel(context.Background())
	return &Ledger{
		store: store, host: host, settings: settings, newID: newID, hint: hint, log: log,
		leases:   storelease.New(store, retention),
		seen:     newSeen(),
		settling: make(chan struct{}, settings.MaxBackgroundWrites),
		life:     life, stop: stop,
	}
}

// Stop waits for pending releases and outcomes until ctx ends, then gives them
// up. What is given up stays a claim without an outcome.
func (l *Ledger) Stop(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	cancel := context.AfterFunc(ctx, l.stop)
	defer cancel()
	l.tasks.Wait()
	l.stop()
}

// Claim decides what happens to a call. The error is a *problem.Error that is
// the final answer. Otherwise the call may be dispatched under the claim, or
// Replay is set.
func (l *Ledger) Claim(ctx context.Context, call Call) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ClaimTimeout)
	defer cancel()
	started := time.Now()
	lease, err := l.leases.Current(ctx)
	if err != nil {
		return Decision{}, l.refused(call, err)
	}
	a := &attempt{ledger: l, call: call, id: l.newID(), lease: lease, started: started}
	return a.claim(ctx)
}

// settle runs a task in the background until it succeeds or gives up.
func (l *Ledger) settle(what string, task func(ctx context.Context) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.log.Warn("not settled, as this host stops", "what", what)
		return
	}
	select {
	case l.settling <- struct{}{}:
	default:
		l.log.Warn("not settled, as too many wait", "what", what)
		return
	}
	l.tasks.Go(func() {
		defer func() { <-l.settling }()
		l.retry(what, task)
	})
}

func (l *Ledger) retry(what string, task func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(l.life, l.settings.RetryFor)
	defer cancel()
	for {
		err := l.try(ctx, task)
		if err == nil {
			return
		}
		wait.For(ctx, l.settings.RetryInterval)
		if ctx.Err() != nil {
			l.log.Warn("not settled; resends are told that the outcome is unknown", "what", what, "error", err)
			return
		}
	}
}

func (l *Ledger) try(ctx context.Context, task func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ClaimTimeout)
	defer cancel()
	return task(ctx)
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

// noEffect tells whether a store call surely had no effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// Package ledger makes sure that a non-idempotent call runs at most once. A
// gateway claims the call's key in the store by compare-and-swap before the first
// byte is sent to a target, and records the outcome afterwards.
//
// A claim is never taken over. A claim without an outcome means that the call may
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

// Settings holds the timeouts and limits of a Ledger.
type Settings struct {
	// ClaimTimeout bounds the wait for the store before a call is rejected, and
	// each try of a write in the background.
	ClaimTimeout time.Duration
	// DispatchWindow is how long after its start an attempt may still be
	// dispatched. A gateway that was paused for longer releases its claim.
	DispatchWindow time.Duration
	// RetryFor is how long releases and outcomes are retried in the background
	// after the caller has its answer.
	RetryFor time.Duration
	// RetryInterval is the delay between these retries.
	RetryInterval time.Duration
	// MaxBackgroundWrites bounds the writes that are retried concurrently.
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

// Ledger claims non-idempotent calls and stores their outcomes. It is safe for
// concurrent use.
type Ledger struct {
	store       platform.Store
	host        string
	settings    Settings
	newID       func() string
	leases      *storelease.Leases
	log         *slog.Logger
	recentCalls *recentCalls
	restores    restoreWatch
	recorder    DispatchRecorder // nil if there is none

	taskSlots   chan struct{} // one element per running task
	mu          sync.Mutex
	closed      bool // guarded by mu
	tasks       sync.WaitGroup
	taskCtx     context.Context
	cancelTasks context.CancelFunc
}

// New returns a Ledger for the gateway on host. The function retention returns how long
// records are kept, newID makes attempt ids, and recorder may be nil. Call Stop at the
// end.
func New(store platform.Store, host string, retention func() time.Duration, newID func() string, recorder DispatchRecorder, settings Settings, log *slog.Logger) *Ledger {
	taskCtx, cancelTasks := context.WithCancel(context.Background())
	return &Ledger{
		store: store, host: host, settings: settings, newID: newID, recorder: recorder, log: log,
		leases:      storelease.New(store, retention),
		recentCalls: newRecentCalls(),
		taskSlots:   make(chan struct{}, settings.MaxBackgroundWrites),
		taskCtx:     taskCtx, cancelTasks: cancelTasks,
	}
}

// Stop waits for pending releases and outcomes until ctx ends, then cancels them.
// A call whose write is canceled stays a claim without an outcome.
func (l *Ledger) Stop(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	cancel := context.AfterFunc(ctx, l.cancelTasks)
	defer cancel()
	l.tasks.Wait()
	l.cancelTasks()
}

// Claim claims a call, or finds the outcome of an earlier request with its key. The
// error is a *problem.Error to be sent to the caller as the final answer.
func (l *Ledger) Claim(ctx context.Context, call Call) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ClaimTimeout)
	defer cancel()
	started := time.Now()
	lease, err := l.leases.Current(ctx)
	if err != nil {
		return Decision{}, l.storeUnavailable(call, err)
	}
	a := &attempt{ledger: l, call: call, id: l.newID(), lease: lease, started: started}
	return a.claim(ctx)
}

// runInBackground runs a task until it succeeds or Settings.RetryFor has passed.
func (l *Ledger) runInBackground(what string, task func(ctx context.Context) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.log.Warn("store write dropped: the gateway is stopping", "what", what)
		return
	}
	select {
	case l.taskSlots <- struct{}{}:
	default:
		l.log.Warn("store write dropped: too many background writes", "what", what)
		return
	}
	l.tasks.Go(func() {
		defer func() { <-l.taskSlots }()
		l.retryUntilDone(what, task)
	})
}

func (l *Ledger) retryUntilDone(what string, task func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(l.taskCtx, l.settings.RetryFor)
	defer cancel()
	for {
		err := l.runOnce(ctx, task)
		if err == nil {
			return
		}
		wait.For(ctx, l.settings.RetryInterval)
		if ctx.Err() != nil {
			l.log.Warn("store write abandoned after retries; resends get an unknown outcome", "what", what, "error", err)
			return
		}
	}
}

// runOnce runs a task for at most Settings.ClaimTimeout.
func (l *Ledger) runOnce(ctx context.Context, task func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ClaimTimeout)
	defer cancel()
	return task(ctx)
}

func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }

// noEffect reports whether a store call that failed with err certainly had no effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// Package runner runs generations: it requests a slot, attaches to the engine, feeds
// what it reads to the stream's state machine and carries out its steps.
package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/fleet"
	"corianderhitch/internal/gateway/metrics"
	"corianderhitch/internal/gateway/stream"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/prefix"
	"corianderhitch/internal/wait"
)

// Fleet is what the runner needs of the agents.
type Fleet interface {
	Admit(ctx context.Context, args control.AdmitArgs) (*fleet.Slot, error)
	AttachedSlot(target platform.Target, fingerprint uint64) *fleet.Slot
	Release(slot *fleet.Slot, produced int, complete bool)
	Register(ctx context.Context, entry control.DirectoryEntry) (control.DirectoryEntry, bool)
	Report(event control.Event)
	InFlight() *fleet.InFlight
}

// Runner runs generations. It is safe for concurrent use.
type Runner struct {
	engines *engineclient.Client
	fleet   Fleet
	metrics *metrics.Metrics
	log     *slog.Logger
	tracer  trace.Tracer
	limits  stream.Limits
	// branches tells the parts of prompts apart, for reports of crashes.
	branches prefix.Branches

	detachedCtx      context.Context // ends at Drain, and with it the sessions whose callers have left
	cancelDetached   context.CancelFunc
	backgroundCtx    context.Context // ends at Stop, and with it background cancellations
	cancelBackground context.CancelFunc
	tasks            sync.WaitGroup
}

// New returns a Runner. Call Stop to release it.
func New(engines *engineclient.Client, f Fleet, m *metrics.Metrics, log *slog.Logger) *Runner {
	detachedCtx, cancelDetached := context.WithCancel(context.Background())
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	return &Runner{
		engines:     engines,
		fleet:       f,
		metrics:     m,
		log:         log,
		tracer:      otel.Tracer("corianderhitch/gateway"),
		limits:      stream.DefaultLimits(),
		detachedCtx: detachedCtx, cancelDetached: cancelDetached,
		backgroundCtx: backgroundCtx, cancelBackground: cancelBackground,
	}
}

// Drain ends the sessions whose callers have left; their generations go on at the
// engines. Other sessions are not affected.
func (r *Runner) Drain() { r.cancelDetached() }

// Stop ends background work and waits for it. Call it after the last Run.
func (r *Runner) Stop() {
	r.cancelDetached()
	r.cancelBackground()
	r.tasks.Wait()
}

// Run runs a job until its end; sink may be nil. The end of ctx cancels the wait for a
// slot as long as no engine can have run the request. Later, a caller that leaves only
// ends the delivery: the generation goes on, so that the caller can come back for it.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) Result {
	ctx, span := r.tracer.Start(ctx, "completion")
	defer span.End()
	s := newSession(ctx, r, job, sink)
	defer s.close()
	return s.run()
}

const (
	// cancelRetryPeriod is how long the runner tries to cancel a generation on an
	// engine that it no longer uses.
	cancelRetryPeriod = 30 * time.Second
	// cancelTimeout bounds one attempt to cancel.
	cancelTimeout = 2 * time.Second
	// cancelRetryDelay separates the attempts.
	cancelRetryDelay = 500 * time.Millisecond
)

// cancelInBackground cancels a generation on an engine that may be frozen or
// unreachable, with retries.
func (r *Runner) cancelInBackground(target platform.Target, generation string) {
	if r.backgroundCtx.Err() != nil {
		return
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.backgroundCtx, cancelRetryPeriod)
		defer cancel()
		for ctx.Err() == nil {
			if r.Cancel(ctx, target, generation) == nil {
				return
			}
			wait.For(ctx, cancelRetryDelay)
		}
	})
}

// Cancel cancels a generation on an engine. It returns nil if the engine is down,
// since the generation then no longer runs.
func (r *Runner) Cancel(ctx context.Context, target platform.Target, generation string) error {
	callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := r.engines.Cancel(callCtx, target.Address, generation)
	if isEngineDown(err) {
		return nil
	}
	return err
}

// problemResult returns the Result for an error before the first attachment.
func problemResult(err error) Result { return Result{Err: problem.From(err)} }

// Package runner runs generations: it asks for a place, attaches to the engine,
// feeds the stream machine and does what it decides.
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
	"corianderhitch/internal/wait"
)

// Fleet is what the runner needs of the agents.
type Fleet interface {
	Admit(ctx context.Context, args control.AdmitArgs) (*fleet.Slot, error)
	AttachedSlot(target platform.Target, fingerprint uint64) *fleet.Slot
	Release(place *fleet.Slot, produced int, complete bool)
	Register(ctx context.Context, entry control.DirectoryEntry) (control.DirectoryEntry, bool)
	Report(news control.Event)
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

	attended context.Context // ends at Drain: generations whose callers have gone are left
	drain    context.CancelFunc
	life     context.Context // ends at Stop: background cancellations end
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

// New returns a Runner. Call Stop at the end.
func New(engines *engineclient.Client, f Fleet, m *metrics.Metrics, log *slog.Logger) *Runner {
	attended, drain := context.WithCancel(context.Background())
	life, stop := context.WithCancel(context.Background())
	return &Runner{
		engines:  engines,
		fleet:    f,
		metrics:  m,
		log:      log,
		tracer:   otel.Tracer("corianderhitch/gateway"),
		limits:   stream.DefaultLimits(),
		attended: attended, drain: drain,
		life: life, stop: stop,
	}
}

// Drain leaves the generations whose callers have gone to their engines. Others
// are not touched.
func (r *Runner) Drain() { r.drain() }

// Stop ends background work and waits for it. Call it after the last Run.
func (r *Runner) Stop() {
	r.drain()
	r.stop()
	r.tasks.Wait()
}

// Run runs a job until its end. While it waits for a place, the end of ctx gives
// it up. Later a lost caller only ends the delivery: the generation goes on, so
// that the caller can come back for it.
func (r *Runner) Run(ctx context.Context, job Job, sink Sink) Result {
	ctx, span := r.tracer.Start(ctx, "completion")
	defer span.End()
	s := newSession(ctx, r, job, sink)
	defer s.close()
	return s.run()
}

const (
	// cancelFor is how long the runner tries to cancel a generation on an engine
	// that it has left.
	cancelFor = 30 * time.Second
	// cancelTimeout bounds one attempt.
	cancelTimeout = 2 * time.Second
	// cancelPause separates attempts.
	cancelPause = 500 * time.Millisecond
)

// cancelLater cancels a generation on an engine that may be frozen or cut off.
func (r *Runner) cancelLater(target platform.Target, generation string) {
	if r.life.Err() != nil {
		return
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.life, cancelFor)
		defer cancel()
		for ctx.Err() == nil {
			if r.Cancel(ctx, target, generation) == nil {
				return
			}
			wait.For(ctx, cancelPause)
		}
	})
}

// Cancel ends a generation on an engine. An engine that does not exist any more
// counts as success.
func (r *Runner) Cancel(ctx context.Context, target platform.Target, generation string) error {
	callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := r.engines.Cancel(callCtx, target.Address, generation)
	if isDead(err) {
		return nil
	}
	return err
}

// pass is what Run returns for a problem before anything was attached.
func pass(err error) Result { return Result{Err: problem.From(err)} }

package agent

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/kvhttp"
	"corianderhitch/internal/telemetry"
	"corianderhitch/internal/web"
)

// Run runs the agent program until ctx ends, then leaves the fleet.
func Run(ctx context.Context, logs io.Writer, s Settings) error {
	log := logging.New(logs, s.LogSettings)
	limitMemory(s.MemoryLimit)
	metrics, err := telemetry.Start(ctx, "agent", s.Host, s.TraceSettings)
	if err != nil {
		return err
	}
	store := kvhttp.New(s.Store, kvhttp.Options{})
	defer store.Close()
	a, err := Start(log, s, store)
	if err != nil {
		return err
	}
	if err := a.Measure(metrics.Meter); err != nil {
		return err
	}
	endpoints, err := web.Start(s.HTTP, a.Ready, metrics.Handler())
	if err != nil {
		a.Stop(ctx)
		return err
	}
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTime)
	defer cancel()
	a.Stop(bounded)
	endpoints.Stop(bounded)
	log.Info("Agent stopped.")
	return metrics.Stop(bounded)
}

// limitMemory sets the soft limit of the garbage collector unless the operator
// did so by GOMEMLIMIT.
func limitMemory(megabytes int) {
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(megabytes) << 20)
	}
}

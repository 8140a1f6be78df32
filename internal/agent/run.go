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

// Run runs the agent process until ctx ends, then leaves the fleet within the drain time
// in the settings.
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
	if err := a.RegisterMetrics(metrics.Meter); err != nil {
		a.Stop(ctx)
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

// limitMemory sets the soft memory limit of the Go runtime unless the operator has set
// GOMEMLIMIT. A limit of 0 sets none.
func limitMemory(megabytes int) {
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(megabytes) << 20)
	}
}

package gateway

import (
	"context"
	"io"
	"time"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/kvhttp"
	"corianderhitch/internal/telemetry"
	"corianderhitch/internal/web"
)

// flushTimeout bounds the stop of the health endpoints and the last export of traces.
const flushTimeout = 2 * time.Second

// Run runs the gateway program until ctx ends, then drains it for at most DrainTimeout.
func Run(ctx context.Context, logs io.Writer, s Settings) error {
	log := logging.New(logs, s.LogSettings)
	signals, err := telemetry.Start(ctx, "gateway", s.Host, s.TraceSettings)
	if err != nil {
		return err
	}
	store := kvhttp.New(s.Store, kvhttp.Options{})
	defer store.Close()
	g, err := Start(log, s, store, signals.Meter)
	if err != nil {
		return err
	}
	health, err := web.Start(s.HTTP, g.Ready, signals.Handler())
	if err != nil {
		g.Stop(ctx)
		return err
	}
	<-ctx.Done()
	drain, cancel := drainContext(s.DrainTimeout)
	defer cancel()
	g.Stop(drain)
	flush, cancelFlush := context.WithTimeout(context.Background(), flushTimeout)
	defer cancelFlush()
	health.Stop(flush)
	return signals.Stop(flush)
}

// drainContext returns a context that ends after limit, or never if limit is 0.
func drainContext(limit time.Duration) (context.Context, context.CancelFunc) {
	if limit == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), limit)
}

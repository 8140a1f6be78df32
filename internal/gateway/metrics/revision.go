package metrics

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// ObserveRevision exports the document revision in force in the gateway; 0
// means that there is none yet.
func ObserveRevision(meter metric.Meter, read func() int64) error {
	_, err := meter.Int64ObservableGauge("hitch.gateway.document_revision",
		metric.WithDescription("document revision in force in this gateway"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

package metrics

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// ObserveRevision exports the revision of the document in force in the gateway. revision
// returns 0 as long as there is none.
func ObserveRevision(meter metric.Meter, revision func() int64) error {
	_, err := meter.Int64ObservableGauge("hitch.gateway.document_revision",
		metric.WithDescription("document revision in force in this gateway"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(revision())
			return nil
		}))
	return err
}

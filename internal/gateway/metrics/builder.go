package metrics

import "go.opentelemetry.io/otel/metric"

// builder creates instruments and keeps the first error, so that New checks one only.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.keepFirstError(err)
	return c
}

func (b *builder) upDownCounter(name, description string) metric.Int64UpDownCounter {
	c, err := b.meter.Int64UpDownCounter(name, metric.WithDescription(description))
	b.keepFirstError(err)
	return c
}

func (b *builder) histogram(name, description string, bounds []float64) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	b.keepFirstError(err)
	return h
}

func (b *builder) keepFirstError(err error) {
	if b.err == nil {
		b.err = err
	}
}

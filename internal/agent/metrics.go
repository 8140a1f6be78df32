package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"corianderhitch/api/control"
)

// RegisterMetrics registers the agent's metrics with meter.
func (a *Agent) RegisterMetrics(meter metric.Meter) error {
	for _, g := range []struct {
		name, text string
		value      func() int64
	}{
		{"hitch_agent_document_revision", "revision of the document in force", func() int64 { return a.state.Document().Revision }},
		{"hitch_agent_targets", "targets in the platform's list", func() int64 { return int64(len(a.state.Targets(time.Now()))) }},
		{"hitch_agent_targets_usable", "targets that are healthy and not leaving", a.usableTargets},
		{"hitch_agent_pools", "pools that this agent serves", func() int64 { return int64(len(a.scheduler.Pools())) }},
		{"hitch_agent_directory_entries", "generations in the directory", func() int64 { return int64(a.directory.Len()) }},
		{"hitch_agent_store_reachable", "1 if the last call to the store succeeded", a.storeReachable},
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error { o.Observe(g.value()); return nil }
		if _, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.text), metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	if err := a.registerMemberMetric(meter); err != nil {
		return err
	}
	if err := a.registerTrafficMetric(meter); err != nil {
		return err
	}
	return a.registerDecisionMetric(meter)
}

func (a *Agent) registerTrafficMetric(meter metric.Meter) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(a.connections.traffic.In(), metric.WithAttributes(attribute.String("direction", "in")))
		o.Observe(a.connections.traffic.Out(), metric.WithAttributes(attribute.String("direction", "out")))
		return nil
	}
	_, err := meter.Int64ObservableCounter("hitch_agent_rpc_bytes", metric.WithUnit("By"),
		metric.WithDescription("bytes of net/rpc connections with agents and gateways"), metric.WithInt64Callback(observe))
	return err
}

func (a *Agent) registerMemberMetric(meter metric.Meter) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		counts := make(map[control.MemberState]int64)
		for _, m := range a.state.Members() {
			counts[m.State]++
		}
		for s, n := range counts {
			o.Observe(n, metric.WithAttributes(attribute.String("state", string(s))))
		}
		return nil
	}
	_, err := meter.Int64ObservableGauge("hitch_agent_members", metric.WithDescription("hosts by state"), metric.WithInt64Callback(observe))
	return err
}

func (a *Agent) registerDecisionMetric(meter metric.Meter) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		counts := a.scheduler.Counts()
		o.Observe(counts.Granted, metric.WithAttributes(attribute.String("outcome", "granted")))
		o.Observe(counts.Rejected, metric.WithAttributes(attribute.String("outcome", "refused")))
		o.Observe(counts.NotOwner, metric.WithAttributes(attribute.String("outcome", "not-owner")))
		return nil
	}
	_, err := meter.Int64ObservableCounter("hitch_agent_decisions", metric.WithDescription("admission decisions"), metric.WithInt64Callback(observe))
	return err
}

func (a *Agent) usableTargets() int64 {
	usable := int64(0)
	for _, t := range a.state.Targets(time.Now()) {
		if t.Healthy && !t.Leaving {
			usable++
		}
	}
	return usable
}

func (a *Agent) storeReachable() int64 {
	if a.state.StoreReachable() {
		return 1
	}
	return 0
}

package services

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/telemetry"
)

// Scheduling is the service for gateways that request slots on targets.
type Scheduling struct {
	scheduler *scheduler.Scheduler
	tracer    trace.Tracer
}

// NewScheduling returns the service.
func NewScheduling(sched *scheduler.Scheduler) *Scheduling {
	return &Scheduling{scheduler: sched, tracer: otel.Tracer("corianderhitch/agent")}
}

// Admit waits until the request is granted or rejected. The wait is a span of the
// request's trace.
func (s *Scheduling) Admit(args control.AdmitArgs, reply *control.AdmitReply) error {
	ctx := telemetry.WithTraceParent(context.Background(), args.TraceParent)
	_, span := s.tracer.Start(ctx, "schedule", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("model", args.Model), attribute.String("class", args.Class)))
	defer span.End()
	answer, err := s.scheduler.Admit(args)
	span.SetAttributes(attribute.Bool("granted", answer.Granted), attribute.String("target", answer.Target.Name))
	*reply = answer
	return err
}

// Finish releases the slots of granted requests and withdraws waiting ones.
func (s *Scheduling) Finish(args control.FinishArgs, _ *control.Empty) error {
	s.scheduler.Finish(args)
	return nil
}

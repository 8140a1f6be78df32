package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/platform"
)

const (
	// reportTimeout bounds the wait for an agent to accept reports.
	reportTimeout = 1 * time.Second
	// maxBatch bounds the events, and the ended tickets, of one batch.
	maxBatch = 512
)

// Report queues an event of the data path, which is then sent to an agent; it does not
// block.
// Targets that are leaving, down or crashed get nothing new from this gateway for
// avoidPeriod.
func (f *Fleet) Report(event control.Event) {
	if event.Kind == control.EventLeaving || event.Kind == control.EventDown || event.Kind == control.EventCrash {
		f.avoided.add(event.Target, time.Now())
	}
	select {
	case f.events <- event:
	default:
	}
}

// FilterAvoided returns the targets that this gateway has no reason to avoid, or all
// targets if none is left.
func (f *Fleet) FilterAvoided(targets []platform.Target) []platform.Target {
	if kept := Exclude(targets, f.avoided.names(time.Now())); len(kept) > 0 {
		return kept
	}
	return targets
}

// sendEvents sends queued events in batches until ctx ends.
func (f *Fleet) sendEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.events:
			f.flushEvents(ctx, f.collectEvents(first))
		}
	}
}

func (f *Fleet) collectEvents(first control.Event) []control.Event {
	batch := []control.Event{first}
	for len(batch) < maxBatch {
		select {
		case event := <-f.events:
			batch = append(batch, event)
		default:
			return batch
		}
	}
	return batch
}

// flushEvents sends a batch to the first agent that accepts it; if none does, the batch
// is dropped.
func (f *Fleet) flushEvents(ctx context.Context, batch []control.Event) {
	for _, agent := range f.agentOrder() {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := f.pool.Call(callCtx, agent, "Control.News", control.EventsArgs{News: batch}, new(control.Empty))
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		f.markUnresponsive(purposeSnapshot, agent)
	}
}

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

// sendEvents sends queued events in batches until ctx ends, and then the last batch.
func (f *Fleet) sendEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			if last := f.collectEvents(); len(last) > 0 {
				f.flushEvents(ctx, last)
			}
			return
		case first := <-f.events:
			f.flushEvents(ctx, f.collectEvents(first))
		}
	}
}

// collectEvents adds queued events to a batch, up to maxBatch.
func (f *Fleet) collectEvents(batch ...control.Event) []control.Event {
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
// is dropped. The end of ctx cancels no call, but no further agent is asked after it.
func (f *Fleet) flushEvents(ctx context.Context, batch []control.Event) {
	for _, agent := range f.agentOrder() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		err := f.pool.Call(callCtx, agent, "Control.News", control.EventsArgs{News: batch}, new(control.Empty))
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		f.markUnresponsive(purposeSnapshot, agent)
	}
}

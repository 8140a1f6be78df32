package fleet

import (
	"context"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/platform"
)

const (
	// reportTimeout bounds the wait for an agent to take a report.
	reportTimeout = 1 * time.Second
	// maxBatch bounds the reports of one call.
	maxBatch = 512
)

// Report passes on an event that the data path saw. Targets that are leaving or
// down get nothing new from this gateway for a while.
func (f *Fleet) Report(news control.Event) {
	if news.Kind == control.EventLeaving || news.Kind == control.EventDown || news.Kind == control.EventCrash {
		f.avoid.add(news.Target, time.Now())
	}
	select {
	case f.news <- news:
	default:
	}
}

// Usable returns the targets that this gateway has no reason to avoid, or all if
// none is left.
func (f *Fleet) FilterAvoided(targets []platform.Target) []platform.Target {
	if kept := Exclude(targets, f.avoid.names(time.Now())); len(kept) > 0 {
		return kept
	}
	return targets
}

func (f *Fleet) sendNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.news:
			f.flushNews(ctx, f.collectNews(first))
		}
	}
}

func (f *Fleet) collectNews(first control.Event) []control.Event {
	batch := []control.Event{first}
	for len(batch) < maxBatch {
		select {
		case n := <-f.news:
			batch = append(batch, n)
		default:
			return batch
		}
	}
	return batch
}

func (f *Fleet) flushNews(ctx context.Context, batch []control.Event) {
	for _, agent := range f.agentOrder() {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := f.pool.Call(callCtx, agent, "Control.News", control.EventsArgs{News: batch}, new(control.Empty))
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		f.cut(forSnapshot, agent)
	}
}

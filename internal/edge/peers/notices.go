package peers

import (
	"context"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/wait"
)

// noticeDelay batches notices that arrive close together into one call.
const noticeDelay = 5 * time.Millisecond

// sendNoticesOnRequest sends the leaving notices after each call of SendNotices, until
// ctx ends. A hub sends them to all hosts, any other host only to the hubs.
func (e *Exchange) sendNoticesOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.noticeRequested:
		}
		wait.For(ctx, noticeDelay)
		args := NoticeArgs{Host: e.Host, Leaving: e.Targets.AnnouncedLeaving()}
		receivers := e.Members.Hubs()
		if e.IsHub() {
			receivers = e.Members.All()
			args.Parts = e.Inflight.LoadsByHost(e.Targets.RecentlyLeaving())
		}
		for _, host := range receivers {
			if host.Name != e.Host {
				go func() { _ = e.call(ctx, host.Name, host.Address, "Notice", args, new(NoticeReply)) }()
			}
		}
	}
}

// markLeaving records that incarnations are leaving, as reported by another host.
func (e *Exchange) markLeaving(host string, incarnations []string) {
	for _, key := range incarnations {
		e.Targets.MarkLeaving(key, "peer "+host)
	}
}

// mergeLimits records the limits of targets that another host has heard of.
func (e *Exchange) mergeLimits(host string, notices []targetnotice.LimitNotice) {
	for _, n := range e.Notices.MergeLimits(notices, bootclock.Now()) {
		e.Log.Info("targets: another host told of a changed limit", "target", n.Incarnation, "peer", host,
			"limited", n.Limit.Stated, "per_second", n.Limit.PerSecond, "age_ms", n.Age.Milliseconds())
	}
}

// takesMoves reports whether runs may move to an incarnation, so that hosts tell each other of its pauses.
func (e *Exchange) takesMoves(incarnation string) bool {
	t, p := e.Targets.View().Get(incarnation), e.Policy.Current()
	if t == nil || p == nil {
		return false
	}
	service := p.Service(t.Service)
	return service != nil && service.Engine != nil && service.Engine.SupportsMigration
}

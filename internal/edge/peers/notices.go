package peers

import (
	"context"
	"time"

	"corianderhitch/internal/wait"
)

// noticeGather collects notices that come close together into one call.
const noticeGather = 5 * time.Millisecond

// announce sends notices to the hosts that do not hear of them otherwise: a hub
// to all hosts, another host to the hubs.
func (e *Exchange) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.kick:
		}
		wait.For(ctx, noticeGather)
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

func (e *Exchange) takeLeaving(host string, keys []string) {
	for _, key := range keys {
		e.Targets.MarkLeaving(key, "peer "+host)
	}
}

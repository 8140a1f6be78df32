package process

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/feed"
	"corianderhitch/internal/edge/targets"
)

const (
	// followCheck is how often a host looks whether it must follow the store
	// itself.
	followCheckInterval = 100 * time.Millisecond
	// targetPause gathers changes of targets that come close together into one
	// call. A notice of two seconds bears it.
	targetWatchPause = 50 * time.Millisecond
	// policyPause does the same for the configuration, which must be in force
	// within seconds.
	policyWatchPause = 300 * time.Millisecond
	// alonePause is used instead by hosts that follow the store while they know no
	// live hub: at a start of the fleet that is all of them.
	standaloneWatchPause = 800 * time.Millisecond
	// hubRetry and aloneRetry follow a failed call: during an outage all hosts
	// call, and each refused call is priced.
	hubRetryPause        = 250 * time.Millisecond
	standaloneRetryPause = 1200 * time.Millisecond
	// followSpread is over what time hosts that lost their hubs at once begin to
	// follow the store: a hub that restarts is back before most of them have.
	maxFollowDelay = 400 * time.Millisecond
)

// feeds are the two prefixes of the store that a host follows, for itself or for
// the fleet.
type feeds struct {
	policy  *feed.Feed
	targets *feed.Feed
}

func (p *Process) newFeeds() *feeds {
	return &feeds{
		policy: &feed.Feed{Log: p.log, Store: p.store, Prefix: p.adapter.ConfigurationKey, WatchInterval: p.watchPause(policyWatchPause), RetryDelay: p.retryPause,
			Sink: &policySink{log: p.log, holder: p.policy, key: p.adapter.ConfigurationKey}},
		targets: &feed.Feed{Log: p.log, Store: p.store, Prefix: p.adapter.TargetPrefix, WatchInterval: p.watchPause(targetWatchPause), RetryDelay: p.retryPause,
			Sink: p.targetLog, OutageThreshold: lapseHeartbeats * p.node.TargetHeartbeat, SettlePeriod: settleTime},
	}
}

// pause returns the pause between watches of a hub, or of a host on its own.
func (p *Process) watchPause(hubPause time.Duration) func() time.Duration {
	return func() time.Duration {
		if p.exchange.IsHub() {
			return hubPause
		}
		return standaloneWatchPause
	}
}

// retryPause returns the pause after a failed call to the store.
func (p *Process) retryPause() time.Duration {
	if p.exchange.IsHub() {
		return hubRetryPause
	}
	return standaloneRetryPause
}

func (p *Process) newTargetSink() *targetSink {
	return &targetSink{log: p.log, registry: p.targets, decode: p.adapter.DecodeTarget,
		onListed: func() { p.targetsListed.Store(true) }, known: make(map[string]targets.Target)}
}

// listAge returns the time since the target list was surely current.
func (p *Process) targetListAge() time.Duration {
	if p.feeds.targets.Live() {
		return 0
	}
	return min(bootclock.Since(p.exchange.LastHubAnswer()), math.MaxInt32*time.Millisecond)
}

// live tells whether this host follows the store at this moment.
func (f *feeds) live() bool { return f.policy.Live() && f.targets.Live() }

// follow follows the store while this host is a hub, or while no hub serves it.
func (p *Process) follow(ctx context.Context) {
	var stop func()
	delay := time.Duration(0)           // a host that has just started needs its lists at once
	var unservedSince bootclock.Instant // since when no hub serves this host; 0 while one does
	ticker := time.NewTicker(followCheckInterval)
	defer ticker.Stop()
	for {
		served := p.exchange.HasLiveHub()
		switch {
		case served:
			unservedSince, delay = 0, time.Duration(rand.Float64()*float64(maxFollowDelay))
		case unservedSince == 0:
			unservedSince = bootclock.Now()
		}
		mustFollow := p.exchange.IsHub() || (!served && bootclock.Since(unservedSince) >= delay)
		switch {
		case mustFollow && stop == nil:
			p.log.Info("edge: follows the store", "hub", p.exchange.IsHub())
			stop = p.runFeeds(ctx)
		case !mustFollow && stop != nil:
			p.log.Info("edge: follows a hub")
			stop()
			stop = nil
		}
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		case <-ticker.C:
		}
	}
}

// runFeeds starts both feeds and returns what stops them.
func (p *Process) runFeeds(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { p.feeds.policy.Run(ctx) })
	wait.Go(func() { p.feeds.targets.Run(ctx) })
	return func() {
		cancel()
		wait.Wait()
	}
}

package process

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/feed"
	"corianderhitch/internal/edge/storeera"
	"corianderhitch/internal/edge/targets"
)

const (
	// followCheckInterval is how often a host checks whether it must follow the
	// store itself.
	followCheckInterval = 100 * time.Millisecond
	// targetWatchInterval combines changes of targets that follow each other closely
	// into one call. It is short against a leaving notice of two seconds.
	targetWatchInterval = 50 * time.Millisecond
	// policyWatchInterval is the same for the configuration, which must be in force
	// within seconds.
	policyWatchInterval = 300 * time.Millisecond
	// standaloneWatchInterval is used instead by hosts that follow the store because
	// they know no live hub; when the fleet starts, these are all hosts.
	standaloneWatchInterval = 800 * time.Millisecond
	// hubRetryDelay and standaloneRetryDelay follow a failed call: during an outage
	// all hosts call the store, and each rejected call is paid for as well.
	hubRetryDelay        = 250 * time.Millisecond
	standaloneRetryDelay = 1200 * time.Millisecond
	// maxFollowDelay is the maximum of the random delays after which hosts that lost
	// their hubs at the same time start to follow the store. A hub that restarts
	// answers again before most of them do.
	maxFollowDelay = 400 * time.Millisecond
)

// feeds holds the feeds of the two store prefixes that a host follows, for itself or
// as a hub for the fleet.
type feeds struct {
	policy  *feed.Feed
	targets *feed.Feed
}

func (p *Process) newFeeds() *feeds {
	return &feeds{
		policy: &feed.Feed{Log: p.log, Store: p.store, Prefix: p.policyPrefix(), WatchInterval: p.watchInterval(policyWatchInterval), RetryDelay: p.retryDelay,
			Sink: p.newPolicySink(), CatchUp: p.catchUp},
		targets: &feed.Feed{Log: p.log, Store: p.store, Prefix: p.adapter.TargetPrefix, WatchInterval: p.watchInterval(targetWatchInterval), RetryDelay: p.retryDelay,
			Sink: p.targetLog, OutageThreshold: expiryHeartbeats * p.node.TargetHeartbeat, EraSettled: p.eras.Settled, SettlePeriod: storeera.SettlePeriod},
	}
}

// watchInterval returns the interval between watches: hubInterval for a hub, a longer
// one for a host that follows the store because it has no hub.
func (p *Process) watchInterval(hubInterval time.Duration) func() time.Duration {
	return func() time.Duration {
		if p.exchange.IsHub() {
			return hubInterval
		}
		return standaloneWatchInterval
	}
}

// retryDelay returns the delay after a failed call to the store.
func (p *Process) retryDelay() time.Duration {
	if p.exchange.IsHub() {
		return hubRetryDelay
	}
	return standaloneRetryDelay
}

func (p *Process) newTargetSink() *targetSink {
	return &targetSink{log: p.log, registry: p.targets, decode: p.adapter.DecodeTarget,
		onListed: func() { p.targetsListed.Store(true) }, onEntry: p.warmupEntries(), known: make(map[string]targets.Target)}
}

// targetListAge returns the time since the target list was known to be current.
func (p *Process) targetListAge() time.Duration {
	if p.feeds.targets.Live() {
		return 0
	}
	return min(bootclock.Since(p.exchange.LastHubAnswer()), math.MaxInt32*time.Millisecond)
}

// live reports whether this host currently follows the store.
func (f *feeds) live() bool { return f.policy.Live() && f.targets.Live() }

func (p *Process) initStoreContact() {
	p.contact.onSilence = p.onStoreSilence
	p.contact.stalled = func(since bootclock.Instant) bool { return p.stalls.Affected(since, bootclock.Now()) }
}

// onStoreSilence interrupts the feeds, so that other hosts don't take this one for a host that follows the store.
func (p *Process) onStoreSilence(lastAnswer bootclock.Instant) {
	if p.feeds.live() {
		p.log.Warn("edge: store does not answer confirmations, ending the watches", "answered_ms_ago", bootclock.Since(lastAnswer).Milliseconds(), "hub", p.exchange.IsHub())
	}
	p.feeds.policy.Interrupt(lastAnswer)
	p.feeds.targets.Interrupt(lastAnswer)
}

// follow follows the store while this host is a hub or has no live hub.
func (p *Process) follow(ctx context.Context) {
	var stop func()
	// delay is the time without a live hub after which this host follows the store. It
	// is 0 at first, since a host that has just started needs its lists immediately.
	delay := time.Duration(0)
	var noHubSince bootclock.Instant // since when this host has no live hub; 0 while it has one
	ticker := time.NewTicker(followCheckInterval)
	defer ticker.Stop()
	for {
		p.stalls.Beat(bootclock.Now())
		p.observeHosts()
		p.refreshWarmup(ctx)
		hubIsLive := p.exchange.HasLiveHub()
		switch {
		case hubIsLive:
			noHubSince, delay = 0, time.Duration(rand.Float64()*float64(maxFollowDelay))
		case noHubSince == 0:
			noHubSince = bootclock.Now()
		}
		mustFollow := p.exchange.IsHub() || (!hubIsLive && bootclock.Since(noHubSince) >= delay)
		switch {
		case mustFollow && stop == nil:
			p.log.Info("edge: following the store", "hub", p.exchange.IsHub())
			stop = p.runFeeds(ctx)
		case !mustFollow && stop != nil:
			p.log.Info("edge: following a hub")
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

// runFeeds starts both feeds and returns a function that stops them.
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

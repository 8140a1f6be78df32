package observer

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// poller polls one target until it is stopped.
type poller struct {
	target platform.Target
	wake   chan struct{} // of capacity 1; requests an immediate poll
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// targetSample is a sample with the target that it belongs to.
type targetSample struct {
	target platform.Target
	Sample
}

func startPoller(ctx context.Context, target platform.Target, prober *Prober, config Config, results chan<- targetSample) *poller {
	bounded, cancel := context.WithCancel(ctx)
	p := &poller{target: target, wake: make(chan struct{}, 1), stop: cancel}
	p.done.Go(func() { p.run(bounded, prober, config, results) })
	return p
}

// Stop ends the polls and waits for the goroutine.
func (p *poller) Stop() {
	p.stop()
	p.done.Wait()
}

// PollNow requests an immediate poll.
func (p *poller) PollNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run polls the target periodically, and immediately when woken, until ctx ends. It
// sends the samples to results.
func (p *poller) run(ctx context.Context, prober *Prober, config Config, results chan<- targetSample) {
	ticker := time.NewTicker(config.PollInterval)
	defer ticker.Stop()
	seq := int64(0)
	for {
		bounded, cancel := context.WithTimeout(ctx, config.PollTimeout)
		var sample Sample
		sample, seq = prober.Poll(bounded, p.target, seq)
		cancel()
		select {
		case <-ctx.Done():
			return
		case results <- targetSample{target: p.target, Sample: sample}:
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wake:
		}
	}
}

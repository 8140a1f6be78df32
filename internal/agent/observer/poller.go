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
	poke   chan struct{} // of capacity 1; asks for a poll at once
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// polled is a sample with the target that it came from.
type polled struct {
	target platform.Target
	Sample
}

func startPoller(ctx context.Context, target platform.Target, prober *Prober, config Config, results chan<- polled) *poller {
	bounded, cancel := context.WithCancel(ctx)
	p := &poller{target: target, poke: make(chan struct{}, 1), stop: cancel}
	p.done.Go(func() { p.run(bounded, prober, config, results) })
	return p
}

// Stop ends the polls and waits for the goroutine.
func (p *poller) Stop() {
	p.stop()
	p.done.Wait()
}

// Poke asks for a poll at once.
func (p *poller) PollNow() {
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

func (p *poller) run(ctx context.Context, prober *Prober, config Config, results chan<- polled) {
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
		case results <- polled{target: p.target, Sample: sample}:
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.poke:
		}
	}
}

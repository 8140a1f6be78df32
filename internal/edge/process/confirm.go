package process

import (
	"context"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// keyMargin is left of the time within which a removed API key must stop to
	// admit: for the way of the last request to its target.
	keyMargin = 700 * time.Millisecond
	// hubConfirmShare is the part of that time after which a hub confirms the
	// configuration again, so that one lost confirmation goes unnoticed.
	hubConfirmShare = 0.3
	// confirmShare is the same for other hosts, whose confirmations come from the
	// hubs: they ask the store only when those are silent.
	confirmShare = 0.5
	// looseConfirm is the period of confirmations where keys need none.
	looseConfirm = 10 * time.Second
	// vouchAfter is how long the store may take before peers are asked.
	vouchAfter = 300 * time.Millisecond
)

// keyAge returns the oldest confirmation with which an API key admits, 0 for any.
func (p *Process) keyAge() time.Duration {
	if !p.node.RevokeStrict || p.node.RevokeWithin <= 0 {
		return 0
	}
	return max(p.node.RevokeWithin-keyMargin, p.node.RevokeWithin/2)
}

// confirmPeriod returns the age at which this host confirms the configuration.
func (p *Process) confirmPeriod() time.Duration {
	switch {
	case p.keyAge() == 0:
		return looseConfirm
	case p.exchange.IsHub():
		return time.Duration(hubConfirmShare * float64(p.node.RevokeWithin))
	default:
		return time.Duration(confirmShare * float64(p.node.RevokeWithin))
	}
}

// confirm reads the configuration from the store, and asks the peers when the
// store does not answer soon.
func (p *Process) confirm(ctx context.Context) (bootclock.Instant, error) {
	type answer struct {
		asOf bootclock.Instant
		err  error
	}
	answers := make(chan answer, 2)
	ask := func(source func(context.Context) (bootclock.Instant, error)) {
		asOf, err := source(ctx)
		answers <- answer{asOf, err}
	}
	go ask(p.readConfiguration)
	timer := time.NewTimer(vouchAfter)
	defer timer.Stop()
	open, asked := 1, false
	var last error
	for open > 0 || !asked {
		vouch := false
		select {
		case a := <-answers:
			if open--; a.err == nil {
				return a.asOf, nil
			}
			last, vouch = a.err, !asked
		case <-timer.C:
			vouch = !asked
		}
		if vouch {
			asked = true
			open++
			go ask(func(ctx context.Context) (bootclock.Instant, error) {
				return p.exchange.Vouch(ctx, p.node.RevokeWithin/2)
			})
		}
	}
	return 0, last
}

func (p *Process) readConfiguration(ctx context.Context) (bootclock.Instant, error) {
	asOf := bootclock.Now()
	entry, err := p.store.Get(ctx, p.adapter.ConfigurationKey)
	if err != nil {
		return 0, err
	}
	accepted, err := p.policy.Offer(entry.Value, int64(entry.Revision))
	if accepted {
		p.log.Info("policy: configuration in force", "version", p.policy.Current().Version, "revision", entry.Revision, "source", "confirmation")
	}
	return asOf, err
}

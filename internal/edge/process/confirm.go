package process

import (
	"context"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/freshness"
)

const (
	// keyMargin is left of the time within which a removed API key must stop to
	// admit: for the way of the last request to its target.
	revokeMargin = 700 * time.Millisecond
	// hubConfirmShare is the part of that time after which a hub confirms the
	// configuration again, so that one lost confirmation goes unnoticed.
	hubConfirmShare = 0.3
	// confirmShare is the same for other hosts, whose confirmations come from the
	// hubs: they ask the store only when those are silent.
	hostConfirmShare = 0.5
	// applyMargin is left of the time within which a configuration must be in force,
	// for the lookup that precedes a denial.
	applyMargin = 600 * time.Millisecond
	// doubtConfirmShare is the part of the age from which denials are doubted after
	// which a hub confirms, so that hosts that it serves rarely doubt.
	recheckConfirmShare = 0.7
	// usualDoubtAge is from when denials are doubted if the platform sets no bound.
	defaultRecheckAge = 3500 * time.Millisecond
	// looseConfirm is the period of confirmations where keys need none.
	relaxedConfirmPeriod = 10 * time.Second
	// secondPlaceAfter is how long the first place may take.
	secondSourceDelay = 300 * time.Millisecond
)

// keyAge returns the oldest confirmation with which an API key admits, 0 for any.
func (p *Process) maxKeyAge() time.Duration {
	if !p.node.RevokeStrict || p.node.RevokeWithin <= 0 {
		return 0
	}
	return max(p.node.RevokeWithin-revokeMargin, p.node.RevokeWithin/2)
}

// doubtAge returns the age of the last confirmation from which a request is not
// denied without a lookup: a host whose hubs have lost the store notices that after
// a while only, and must not deny by a configuration that is older than the bound.
func (p *Process) recheckAge() time.Duration {
	if p.node.ApplyWithin <= 0 {
		return defaultRecheckAge
	}
	return max(p.node.ApplyWithin-applyMargin, p.node.ApplyWithin/2)
}

// confirmPeriod returns the age at which this host confirms the configuration.
func (p *Process) confirmPeriod() time.Duration {
	switch {
	case p.maxKeyAge() == 0:
		return relaxedConfirmPeriod
	case p.exchange.IsHub():
		return min(time.Duration(hubConfirmShare*float64(p.node.RevokeWithin)), time.Duration(recheckConfirmShare*float64(p.recheckAge())))
	default:
		return time.Duration(hostConfirmShare * float64(p.node.RevokeWithin))
	}
}

// confirm asks for the configuration in force at two places: a hub first reads
// the store, other hosts first ask peers, since only calls to the store are paid
// for. The second place is asked when the first fails or does not answer soon.
func (p *Process) confirm(ctx context.Context) (bootclock.Instant, error) {
	type answer struct {
		asOf bootclock.Instant
		err  error
	}
	sources := []freshness.ConfirmFunc{p.confirmWithStore, p.confirmWithPeers}
	if !p.exchange.IsHub() {
		sources[0], sources[1] = sources[1], sources[0]
	}
	answers := make(chan answer, len(sources))
	ask := func(source freshness.ConfirmFunc) {
		asOf, err := source(ctx)
		answers <- answer{asOf, err}
	}
	go ask(sources[0])
	timer := time.NewTimer(secondSourceDelay)
	defer timer.Stop()
	pending, asked := 1, false
	var lastErr error
	for pending > 0 || !asked {
		askSecond := false
		select {
		case a := <-answers:
			if pending--; a.err == nil {
				return a.asOf, nil
			}
			lastErr, askSecond = a.err, !asked
		case <-timer.C:
			askSecond = !asked
		}
		if askSecond {
			asked = true
			pending++
			go ask(sources[1])
		}
	}
	return 0, lastErr
}

// askPeers asks other hosts to vouch.
func (p *Process) confirmWithPeers(ctx context.Context) (bootclock.Instant, error) {
	return p.exchange.ConfirmByPeers(ctx, min(p.node.RevokeWithin/2, p.recheckAge()))
}

func (p *Process) confirmWithStore(ctx context.Context) (bootclock.Instant, error) {
	asOf := bootclock.Now()
	entry, err := p.store.Get(ctx, p.adapter.ConfigurationKey)
	if err != nil {
		return 0, err
	}
	accepted, err := p.policy.ApplyIfNewer(entry.Value, int64(entry.Revision))
	if accepted {
		p.log.Info("policy: configuration in force", "version", p.policy.Current().Version, "revision", entry.Revision, "source", "confirmation")
	}
	return asOf, err
}

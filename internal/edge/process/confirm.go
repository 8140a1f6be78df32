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
	keyMargin = 700 * time.Millisecond
	// hubConfirmShare is the part of that time after which a hub confirms the
	// configuration again, so that one lost confirmation goes unnoticed.
	hubConfirmShare = 0.3
	// confirmShare is the same for other hosts, whose confirmations come from the
	// hubs: they ask the store only when those are silent.
	confirmShare = 0.5
	// applyMargin is left of the time within which a configuration must be in force,
	// for the lookup that precedes a denial.
	applyMargin = 600 * time.Millisecond
	// doubtConfirmShare is the part of the age from which denials are doubted after
	// which a hub confirms, so that hosts that it serves rarely doubt.
	doubtConfirmShare = 0.7
	// usualDoubtAge is from when denials are doubted if the platform sets no bound.
	usualDoubtAge = 3500 * time.Millisecond
	// looseConfirm is the period of confirmations where keys need none.
	looseConfirm = 10 * time.Second
	// secondPlaceAfter is how long the first place may take.
	secondPlaceAfter = 300 * time.Millisecond
)

// keyAge returns the oldest confirmation with which an API key admits, 0 for any.
func (p *Process) keyAge() time.Duration {
	if !p.node.RevokeStrict || p.node.RevokeWithin <= 0 {
		return 0
	}
	return max(p.node.RevokeWithin-keyMargin, p.node.RevokeWithin/2)
}

// doubtAge returns the age of the last confirmation from which a request is not
// denied without a lookup: a host whose hubs have lost the store notices that after
// a while only, and must not deny by a configuration that is older than the bound.
func (p *Process) doubtAge() time.Duration {
	if p.node.ApplyWithin <= 0 {
		return usualDoubtAge
	}
	return max(p.node.ApplyWithin-applyMargin, p.node.ApplyWithin/2)
}

// confirmPeriod returns the age at which this host confirms the configuration.
func (p *Process) confirmPeriod() time.Duration {
	switch {
	case p.keyAge() == 0:
		return looseConfirm
	case p.exchange.IsHub():
		return min(time.Duration(hubConfirmShare*float64(p.node.RevokeWithin)), time.Duration(doubtConfirmShare*float64(p.doubtAge())))
	default:
		return time.Duration(confirmShare * float64(p.node.RevokeWithin))
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
	places := []freshness.ConfirmFunc{p.readConfiguration, p.askPeers}
	if !p.exchange.IsHub() {
		places[0], places[1] = places[1], places[0]
	}
	answers := make(chan answer, len(places))
	ask := func(place freshness.ConfirmFunc) {
		asOf, err := place(ctx)
		answers <- answer{asOf, err}
	}
	go ask(places[0])
	timer := time.NewTimer(secondPlaceAfter)
	defer timer.Stop()
	open, asked := 1, false
	var last error
	for open > 0 || !asked {
		more := false
		select {
		case a := <-answers:
			if open--; a.err == nil {
				return a.asOf, nil
			}
			last, more = a.err, !asked
		case <-timer.C:
			more = !asked
		}
		if more {
			asked = true
			open++
			go ask(places[1])
		}
	}
	return 0, last
}

// askPeers asks other hosts to vouch.
func (p *Process) askPeers(ctx context.Context) (bootclock.Instant, error) {
	return p.exchange.ConfirmByPeers(ctx, min(p.node.RevokeWithin/2, p.doubtAge()))
}

func (p *Process) readConfiguration(ctx context.Context) (bootclock.Instant, error) {
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

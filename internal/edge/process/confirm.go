package process

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/freshness"
	"corianderhitch/internal/platform"
)

const (
	// revokeMargin is subtracted from the time within which a revoked API key must be
	// rejected: the last accepted request still takes time to reach its target.
	revokeMargin = 700 * time.Millisecond
	// hubConfirmShare is the share of RevokeWithin after which a hub confirms the
	// configuration again, so that the loss of one confirmation has no effect.
	hubConfirmShare = 0.3
	// hostConfirmShare is the same for other hosts, which get confirmations from the
	// hubs and ask the store only if the hubs do not answer.
	hostConfirmShare = 0.5
	// applyMargin is subtracted from the time within which a configuration must be in
	// force, for the lookup that precedes a rejection.
	applyMargin = 600 * time.Millisecond
	// recheckConfirmShare is the share of recheckAge after which a hub confirms the
	// configuration, so that the hosts it serves rarely need a lookup of their own.
	recheckConfirmShare = 0.6
	// defaultRecheckAge is the recheckAge if the platform sets no bound.
	defaultRecheckAge = 3500 * time.Millisecond
	// secondSourceDelay is how long the first source may take before the second is
	// asked as well.
	secondSourceDelay = 300 * time.Millisecond
	// lookupTime is how long a confirmation by the store takes, with the requests that were admitted
	// before it ended.
	lookupTime = 300 * time.Millisecond
	// minConfirmPeriod keeps bounds that are too short for a confirmation from loading the store.
	minConfirmPeriod = 100 * time.Millisecond
	// storeConfirmTimeout bounds the time until the store begins to answer a confirmation. An answer that holds
	// a whole configuration takes longer.
	storeConfirmTimeout = 1200 * time.Millisecond
)

// maxKeyAge returns the maximum age of the last confirmation for API keys to be
// accepted, 0 for any.
func (p *Process) maxKeyAge() time.Duration {
	if !p.node.RevokeStrict || p.node.RevokeWithin <= 0 {
		return 0
	}
	within := p.node.RevokeWithin
	if p.node.EvacuateWithin > 0 { // a confirmation covers the evacuated failure domains too
		within = min(within, p.node.EvacuateWithin)
	}
	return max(within-revokeMargin, within/2)
}

// recheckAge returns the age of the last confirmation from which a request is looked
// up in the newest configuration before it is rejected: a host learns only after a
// while that its hubs lost the store, and must not reject a request because of a
// configuration that is older than the bound.
func (p *Process) recheckAge() time.Duration {
	if p.node.ApplyWithin <= 0 {
		return defaultRecheckAge
	}
	return max(p.node.ApplyWithin-applyMargin, p.node.ApplyWithin/2)
}

// mayBeOutdated reports whether there is reason to think that a configuration whose confirmation is older
// than recheckAge is not the newest: a host has stated a newer one, or the store answers this host, so that only
// the confirmations fail. Without either, this host has lost the store, and its configuration is the best it has.
func (p *Process) mayBeOutdated() bool {
	return p.exchange.KnowsNewerConfiguration() || p.contact.heardSince(p.confirmer.ConfirmedAt().Add(p.recheckAge()))
}

// confirmPeriod returns the age at which this host confirms the configuration again. The
// bounds on revoked API keys, on evacuations and on the time until a configuration is in force
// apply. A host whose hubs no longer reach the store meets the last one only if it asks
// the store itself in time, with a failed attempt at its peers before that.
func (p *Process) confirmPeriod() time.Duration {
	keyShare, period := hostConfirmShare, p.recheckAge()-secondSourceDelay
	if p.exchange.IsHub() {
		keyShare, period = hubConfirmShare, time.Duration(recheckConfirmShare*float64(p.recheckAge()))
	}
	within := func(bound time.Duration) time.Duration {
		return min(time.Duration(keyShare*float64(bound)), bound-secondSourceDelay-lookupTime)
	}
	if p.maxKeyAge() > 0 {
		period = min(period, within(p.node.RevokeWithin))
	}
	if p.node.EvacuateWithin > 0 {
		period = min(period, within(p.node.EvacuateWithin))
	}
	return max(period, minConfirmPeriod)
}

// maxPeerConfirmationAge returns the maximum age of a confirmation that this host accepts from
// a peer. A host that is not a hub asks for one that is younger than its own: another that is
// about as old comes from the same hub, and would only delay the call to the store.
func (p *Process) maxPeerConfirmationAge() time.Duration {
	if !p.exchange.IsHub() {
		return p.confirmPeriod()
	}
	if p.node.RevokeWithin <= 0 {
		return p.recheckAge()
	}
	return min(p.node.RevokeWithin/2, p.recheckAge())
}

// confirm confirms the current configuration at one of two sources. A hub asks the
// store first; other hosts ask peers first, since only calls to the store are paid
// for. The second source is asked if the first fails or does not answer soon.
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
			if !asked && !p.exchange.IsHub() && p.exchange.FetchesConfiguration() {
				timer.Reset(secondSourceDelay) // the store would send all of it again
				continue
			}
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

// confirmWithPeers asks other hosts for a recent confirmation.
func (p *Process) confirmWithPeers(ctx context.Context) (bootclock.Instant, error) {
	return p.exchange.ConfirmByPeers(ctx, p.maxPeerConfirmationAge())
}

// errEraUnsettled means that the store was restored a moment ago: the operator may not have
// written again yet what was lost.
var errEraUnsettled = eris.New("store: restored a moment ago; its configuration may not be the newest")

// confirmWithStore reads the configuration and the evacuated failure domains from the store, which
// confirms them as of the start of the read. A restored store confirms nothing until its era is settled: a key that
// was withdrawn since the copy would be accepted again.
func (p *Process) confirmWithStore(ctx context.Context) (bootclock.Instant, error) {
	asOf := bootclock.Now()
	era := p.eras.Current()
	settled := p.eras.Settled(era)
	// The call goes on if a peer confirms first: whether the store answers it matters to a hub.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	silence := time.AfterFunc(storeConfirmTimeout, cancel)
	defer silence.Stop()
	var read operatorRead
	err := p.contact.observe(platform.WithAnswerNotice(ctx, func() { silence.Stop() }), func(ctx context.Context) (err error) {
		read, err = p.readOperator(ctx, settled, era)
		return err
	})
	if err == nil {
		err = read.invalid
	}
	if err == nil && (!settled || read.era != era) {
		err = errEraUnsettled
	}
	return asOf, err
}

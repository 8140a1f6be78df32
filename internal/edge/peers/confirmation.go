package peers

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/relay"
	"corianderhitch/internal/platform"
)

const (
	// maxConfirmationAge is the oldest usable confirmation. A peer that has none
	// reports the largest possible duration.
	maxConfirmationAge = time.Hour
	// confirmationPeers is how many hosts are asked in parallel.
	confirmationPeers = 4
)

// ConfirmByPeers asks several hosts for a configuration that was confirmed to be the
// newest less than maxAge ago, applies it if it is newer than this host's, and
// returns when it was confirmed. The first such answer wins. A large configuration is
// awaited as long as parts of it arrive.
func (e *Exchange) ConfirmByPeers(ctx context.Context, maxAge time.Duration) (bootclock.Instant, error) {
	confirmedAt, err := e.askPeers(ctx, maxAge)
	if err != nil && e.awaitFetch(ctx) && e.Confirmer.Age() <= maxAge {
		return e.Confirmer.ConfirmedAt(), nil
	}
	return confirmedAt, err
}

// askPeers asks several hosts for a confirmation. The first one wins.
func (e *Exchange) askPeers(ctx context.Context, maxAge time.Duration) (bootclock.Instant, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := e.Members.Sample(confirmationPeers)
	answers := make(chan bootclock.Instant, len(asked)) // 0 for none
	for _, host := range asked {
		go func() {
			confirmedAt, _ := e.askPeer(ctx, host, maxAge)
			answers <- confirmedAt
		}()
	}
	for range asked {
		select {
		case confirmedAt := <-answers:
			if confirmedAt != 0 {
				return confirmedAt, nil
			}
		case <-ctx.Done():
		}
	}
	return 0, eris.Errorf("none of %d peers has a confirmation younger than %v", len(asked), maxAge)
}

// askPeer asks one host for its confirmation. It returns false if the call fails or
// the confirmation is older than maxAge.
func (e *Exchange) askPeer(ctx context.Context, host relay.Host, maxAge time.Duration) (bootclock.Instant, bool) {
	own := e.Policy.Current().Stamp()
	args := VouchArgs{Revision: own.Revision, Version: own.Version, Fetches: true}
	askedAt := bootclock.Now()
	reply := new(Confirmation)
	if err := e.call(ctx, host.Name, host.Address, "Vouch", args, reply); err != nil || reply.Age > maxAge {
		return 0, false
	}
	return e.applyConfirmation(host, askedAt, reply)
}

// applyConfirmation applies a peer's configuration if it is newer and returns when it
// was confirmed to be the newest. The peer measures the age after the request was
// sent, so a delayed answer makes the returned instant earlier, never later. A
// confirmation of an earlier era of the store holds for its instant like any other. If the
// peer's configuration is newer and not included, it is fetched; its confirmation counts then.
func (e *Exchange) applyConfirmation(host relay.Host, askedAt bootclock.Instant, c *Confirmation) (bootclock.Instant, bool) {
	address := host.Address
	if c.Raw != nil {
		accepted, err := e.Policy.ApplyIfNewer(c.Raw, c.Revision)
		if err != nil {
			e.Log.Error("peers: cannot decode the configuration of a peer", "address", address, "revision", c.Revision, "error", err.Error())
			return 0, false
		}
		if accepted {
			e.Log.Info("policy: configuration in force", "version", e.Policy.Current().Version, "revision", c.Revision, "source", "peer "+address)
		}
	}
	if !e.mergeEvacuation(&c.Evacuation, "peer "+address, c.Age) {
		return 0, false // it confirms the configuration only
	}
	confirmed := policy.Stamp{Version: c.Version, Revision: c.Revision}
	var confirmedAt bootclock.Instant
	if c.Age <= maxConfirmationAge {
		confirmedAt = askedAt.Add(-c.Age)
	}
	if own := e.Policy.Current().Stamp(); confirmed.NewerThan(own) {
		e.fetchConfiguration(host, confirmed, confirmedAt, c.AsOf)
		return 0, false
	} else if own == (policy.Stamp{}) {
		return 0, false
	}
	e.Operator.Advance(c.AsOf)
	return confirmedAt, confirmedAt != 0
}

// OperatorState is the revision of the store up to which all that the operator has written is in force at
// a host. From there on the host need not read all of it again.
type OperatorState interface {
	AsOf() platform.Revision // 0 if it is not known
	Advance(asOf platform.Revision)
}

type unknownOperatorState struct{}

func (unknownOperatorState) AsOf() platform.Revision   { return 0 }
func (unknownOperatorState) Advance(platform.Revision) {}

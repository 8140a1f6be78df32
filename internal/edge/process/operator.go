package process

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/platform"
)

const (
	// smallConfiguration is the size in bytes up to which a configuration is read as a whole: that takes no longer than to
	// read its changes, and is answered also while the store's watches are not.
	smallConfiguration = 64 << 10
	// changesTimeout bounds the time until the store begins to answer a read of changes.
	changesTimeout = 400 * time.Millisecond
)

// operatorState is the revision of the store up to which all that the operator has written is in force here. It
// is safe for concurrent use.
type operatorState struct {
	asOf     atomic.Int64
	unusable atomic.Bool // the newest configuration that was read is not in force; asOf must not pass it
}

var _ peers.OperatorState = (*operatorState)(nil)

// AsOf implements peers.OperatorState.
func (s *operatorState) AsOf() platform.Revision { return platform.Revision(s.asOf.Load()) }

// Advance implements peers.OperatorState.
func (s *operatorState) Advance(asOf platform.Revision) {
	for {
		old := s.asOf.Load()
		if int64(asOf) <= old || s.asOf.CompareAndSwap(old, int64(asOf)) {
			return
		}
	}
}

// operatorRead is the outcome of a read that the store has answered.
type operatorRead struct {
	era     int64 // of the store when it answered
	found   bool  // it brought a configuration
	invalid error // why that is not in force; nil if it is
}

// readOperator puts in force what the operator has written and this host does not know. settled states
// whether the era was settled before.
func (p *Process) readOperator(ctx context.Context, settled bool, era int64) (operatorRead, error) {
	read, err := p.readNews(ctx)
	if !errors.Is(err, platform.ErrCompacted) {
		return read, err
	}
	if p.evacuated == nil && !p.hasLargeConfiguration() {
		return p.readConfiguration(ctx)
	}
	return p.readOperatorList(ctx, settled, era)
}

// readNews is readOperator for a host with a large configuration that knows all until a revision: all hosts
// confirm at the store when the hubs are lost, and would fill its link. It returns platform.ErrCompacted if all
// must be read.
func (p *Process) readNews(ctx context.Context) (operatorRead, error) {
	after, era := p.operator.AsOf(), p.eras.Current()
	if after == 0 || after.Era() != era || !p.eras.Settled(era) || p.operator.unusable.Load() || !p.hasLargeConfiguration() {
		return operatorRead{}, platform.ErrCompacted
	}
	changesCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(changesTimeout, cancel)
	defer silence.Stop()
	read, err := p.readOperatorChanges(platform.WithAnswerNotice(changesCtx, func() { silence.Stop() }), after)
	if err != nil && changesCtx.Err() != nil && ctx.Err() == nil {
		return read, platform.ErrCompacted // the store may answer other reads while it compacts its history
	}
	return read, err
}

func (p *Process) hasLargeConfiguration() bool {
	current := p.policy.Current()
	return current != nil && len(current.Raw) > smallConfiguration
}

// readConfiguration reads the configuration alone.
func (p *Process) readConfiguration(ctx context.Context) (operatorRead, error) {
	entry, err := p.store.Get(ctx, p.adapter.ConfigurationKey)
	if err != nil {
		return operatorRead{}, err
	}
	read := p.applyConfiguration(&entry)
	p.knowAllUntil(entry.Revision, &read)
	return read, nil
}

// readOperatorList reads all that the operator has written.
func (p *Process) readOperatorList(ctx context.Context, settled bool, era int64) (operatorRead, error) {
	entries, asOf, err := p.store.List(ctx, p.policyPrefix(), "", 0)
	if err != nil {
		return operatorRead{}, err
	}
	if p.evacuated != nil {
		p.evacuated.Replace(evacuatedDomains(entries, p.adapter.EvacuatedDomain), asOf, settled && asOf.Era() == era, "confirmation")
	}
	for i := range entries {
		if entries[i].Key == p.adapter.ConfigurationKey {
			read := p.applyConfiguration(&entries[i])
			p.knowAllUntil(asOf, &read)
			return read, nil
		}
	}
	return operatorRead{}, platform.ErrNotFound
}

// readOperatorChanges reads what the operator has written after a revision.
func (p *Process) readOperatorChanges(ctx context.Context, after platform.Revision) (operatorRead, error) {
	events, asOf, err := p.store.Changes(ctx, p.policyPrefix(), after)
	if err != nil {
		return operatorRead{}, err
	}
	read := operatorRead{era: asOf.Era()}
	var changes []evacuation.Change
	for i := range events {
		e := &events[i].Entry
		if domain, ok := p.adapter.EvacuatedDomain(e.Key); ok {
			changes = append(changes, evacuation.Change{Domain: domain, Evacuated: !events[i].Deleted, Revision: e.Revision})
		}
		switch {
		case e.Key != p.adapter.ConfigurationKey:
		case events[i].Deleted:
			err = platform.ErrNotFound
		default:
			read, err = p.applyConfiguration(e), nil
		}
	}
	if p.evacuated != nil {
		p.evacuated.Apply(changes, asOf, "confirmation")
	}
	if err == nil {
		p.knowAllUntil(asOf, &read)
	}
	return read, err
}

// knowAllUntil records that all that the operator has written up to a revision is in force, unless a read
// brought a configuration that is not, or the store may lack what was written before a restore.
func (p *Process) knowAllUntil(asOf platform.Revision, read *operatorRead) {
	if read.found {
		p.operator.unusable.Store(read.invalid != nil)
	}
	if !p.operator.unusable.Load() && p.eras.Settled(asOf.Era()) {
		p.operator.Advance(asOf)
	}
}

// catchUp puts in force what the operator has written since the state that is known here, and returns the
// revision as of which it is. It returns platform.ErrCompacted if all must be read.
func (p *Process) catchUp(ctx context.Context) (platform.Revision, error) {
	if _, err := p.readNews(ctx); err != nil {
		return 0, err
	}
	return p.operator.AsOf(), nil
}

// applyConfiguration puts the configuration of an entry in force if it is newer.
func (p *Process) applyConfiguration(e *platform.Entry) operatorRead {
	accepted, err := p.policy.ApplyIfNewer(e.Value, e.Revision)
	if accepted {
		p.log.Info("policy: configuration in force", "version", p.policy.Current().Version, "revision", e.Revision, "source", "confirmation", "bytes", len(e.Value))
	}
	return operatorRead{era: e.Revision.Era(), found: true, invalid: err}
}

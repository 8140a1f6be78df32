// Package state holds the replicated state of one agent: the tables of members,
// targets and events, and the configuration document. It guards them with one
// lock, builds and handles the gossip messages between agents, and notifies
// long-polling gateways of changes.
//
// Methods that depend on time take the current time as an argument, so that tests can
// drive many agents in virtual time.
package state

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/docsync"
	eventtable "corianderhitch/internal/agent/events"
	"corianderhitch/internal/agent/membership"
	"corianderhitch/internal/agent/observer"
	"corianderhitch/internal/logging"
)

// State is one agent's view of the fleet. It is safe for concurrent use.
type State struct {
	log         *slog.Logger
	environment string

	mu                sync.Mutex
	members           *membership.Table           // guarded by mu
	partners          *membership.PartnerSelector // guarded by mu
	targets           *observer.Table             // guarded by mu
	events            *eventtable.Table           // guarded by mu
	document          *docsync.Holder             // guarded by mu
	newerDocumentPeer string                      // address of a peer with a higher document revision, or empty; guarded by mu
	probeAddresses    []string                    // agents to exchange with outside the partners, guarded by mu
	storeReachable    bool                        // whether the last call to the store succeeded, guarded by mu
	loadsNotifiedAt   time.Time                   // last notification of a load-only change, guarded by mu
	loadNotifyDue     bool                        // whether loads have changed since loadsNotifiedAt, guarded by mu
	version           int64                       // guarded by mu
	changed           chan struct{}               // closed at the next change, guarded by mu

	urgent    chan struct{}        // capacity 1; holds a value while an exchange should start immediately
	newEvents chan []control.Event // events that were not known before
}

// eventBacklog bounds the batches of new events that wait for the agent. Batches
// beyond it are dropped; the scheduler then decides without them.
const eventBacklog = 256

const (
	// minLoadNotifyInterval is the shortest time between two notifications of
	// load-only changes. Gateways use loads only while no pool owner answers.
	minLoadNotifyInterval = 250 * time.Millisecond
	// loadNotifyIntervalPerTarget scales the interval with the size of the
	// snapshot: 2,700 targets (700 KB) are sent at most every 5.4 s.
	loadNotifyIntervalPerTarget = 2 * time.Millisecond
)

// maxDiscoveryProbes bounds the unknown hosts contacted after one read of the
// store's registration. A single reply repairs the whole member table.
const maxDiscoveryProbes = 5

// New returns the state of an agent whose only known member is self. Seed
// determines the choice of gossip partners.
func New(log *slog.Logger, config membership.Config, self control.Member, environment string, seed uint64) *State {
	return &State{
		log:         logging.WithPrefix(log, "state"),
		environment: environment,
		members:     membership.NewTable(config, self),
		partners:    membership.NewPartnerSelector(seed),
		targets:     observer.NewTable(),
		events:      eventtable.NewTable(),
		document:    docsync.NewHolder(environment),
		version:     1,
		changed:     make(chan struct{}),
		urgent:      make(chan struct{}, 1),
		newEvents:   make(chan []control.Event, eventBacklog),
	}
}

// Urgent returns a channel that yields a value when the changes should be sent to
// peers without waiting for the next period.
func (s *State) Urgent() <-chan struct{} { return s.urgent }

// NewEvents returns a channel of batches of events that this agent had not seen
// before.
func (s *State) NewEvents() <-chan []control.Event { return s.newEvents }

// Version returns the version of the state and a channel that is closed when the
// version grows.
func (s *State) Version() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.changed
}

// Self returns the agent's own member record.
func (s *State) Self() control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Self()
}

// UpdateSelf changes the agent's own member record. A change of the state or of the
// gateway address is sent to the partners immediately.
func (s *State) UpdateSelf(change func(*control.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Version()
	s.members.UpdateSelf(change)
	if s.members.Version() != before {
		s.notify()
		s.signalUrgent()
	}
}

// Members returns all known members, including dead ones, sorted by host.
func (s *State) Members() []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Members()
}

// Live returns the members that are alive, draining or suspect, sorted by host. The
// slice is shared and must not be changed.
func (s *State) Live() []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Live()
}

// Member returns the record of a host and whether the host is known.
func (s *State) Member(host string) (control.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Get(host)
}

// DiscoverMembers takes one page of the members listed in the store's registration and
// returns how many of them are not known to be live. It queues a random few of those of
// all pages for a direct exchange instead of adding them, since the registration may be
// out of date.
func (s *State) DiscoverMembers(members []control.Member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unknown []string
	for _, m := range members {
		known, ok := s.members.Get(m.Host)
		if m.AgentAddr != "" && (!ok || !membership.IsLive(known.State)) {
			unknown = append(unknown, m.AgentAddr)
		}
	}
	candidates := append(slices.Clone(unknown), s.probeAddresses...)
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	s.probeAddresses = candidates[:min(len(candidates), maxDiscoveryProbes)]
	return len(unknown)
}

// TakeProbeAddresses returns and clears the addresses of agents to exchange with
// once, outside the partners.
func (s *State) TakeProbeAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := append(s.probeAddresses, s.members.TakeProbeAddresses()...)
	s.probeAddresses = nil
	return addresses
}

// Targets returns the targets in the platform's list.
func (s *State) Targets(now time.Time) []control.TargetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Listed(now)
}

// TargetCount returns the number of targets in the platform's list.
func (s *State) TargetCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Len()
}

// TopologyVersion returns a number that grows whenever a member changes or a target
// changes in more than its load.
func (s *State) TopologyVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Version() + s.targets.TopologyVersion()
}

// Target returns the row of a target as its observing host wrote it, without the
// effects of events.
func (s *State) Target(name string) (control.TargetState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Get(name)
}

// UpdateTarget changes the row of a target. The function change receives the
// current row with the leaving events that apply, or a zero row, and returns the new row
// and whether to store it. It runs with the state locked.
func (s *State) UpdateTarget(now time.Time, name string, change func(control.TargetState) (control.TargetState, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, write := change(s.targets.ForUpdate(now, name))
	if !write {
		return
	}
	before := s.targets.TopologyVersion()
	if s.targets.Put(now, row) {
		s.signalUrgent()
	}
	s.notifyTargets(now, before)
}

// PublishLoad sends the current load of a target to peers. UpdateTarget alone does
// not spread a row that differs only in its load.
func (s *State) PublishLoad(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.PublishLoad(name)
}

// AddEvents records events that a gateway observed and spreads those that are new.
func (s *State) AddEvents(now time.Time, events []control.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addEvents(now, "", events)
}

// Document returns the document in force; its revision is 0 while there is none.
func (s *State) Document() docsync.Current {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document.Current()
}

// ApplyDocumentIfNewer puts a document in force if its revision is higher than that
// of the current one. Invalid content is logged and ignored.
func (s *State) ApplyDocumentIfNewer(revision int64, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDocumentIfNewer(revision, content)
}

// SetStoreReachable records whether the last call to the store succeeded.
func (s *State) SetStoreReachable(reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeReachable = reachable
}

// StoreReachable reports whether the last call to the store succeeded.
func (s *State) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReachable
}

// Tick advances all tables by one gossip period. Call it once per period.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Version() + s.targets.TopologyVersion()
	s.members.Tick(now)
	s.targets.SetFleetSize(len(s.members.Live()))
	s.targets.Tick(now)
	s.events.Tick(now)
	if s.members.Version()+s.targets.TopologyVersion() != before {
		s.notify()
	}
	if s.loadNotifyDue {
		s.notifyTargets(now, s.targets.TopologyVersion())
	}
}

// DuePeers returns the peers to exchange with in this period: count partners, and
// sometimes a suspect or dead member to probe.
func (s *State) DuePeers(now time.Time, count int) []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partners.DuePeers(now, s.members, count)
}

// Partners returns the current gossip partners, which urgent exchanges go to.
func (s *State) Partners(now time.Time) []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partners.Partners(now, s.members)
}

// TakeNewerDocumentPeer returns and clears the address of a peer that holds a higher
// document revision, or "" if none is known.
func (s *State) TakeNewerDocumentPeer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.newerDocumentPeer
	s.newerDocumentPeer = ""
	return address
}

func (s *State) applyDocumentIfNewer(revision int64, content []byte) {
	inForce, err := s.document.ApplyIfNewer(revision, content)
	if err != nil {
		s.log.Error("Document rejected.", "revision", revision, "error", err)
		return
	}
	if !inForce {
		return
	}
	s.members.UpdateSelf(func(m *control.Member) { m.DocumentRevision = revision })
	s.log.Info("Document in force.", "revision", revision)
	s.notify()
	s.signalUrgent()
}

// addEvents records events. It applies those that were not known before to the targets,
// unless they are history, and passes them on to NewEvents.
func (s *State) addEvents(now time.Time, from string, events []control.Event) {
	added := s.events.Add(now, from, s.discountLeaving(now, events), len(s.members.Live()))
	if len(added) == 0 {
		return
	}
	news := false
	for _, e := range added {
		if eventtable.IsHistory(e) {
			continue
		}
		news = true
		switch e.Kind {
		case control.EventLeaving:
			s.markTargetLeaving(now, e.Target)
		case control.EventDown, control.EventCrash:
			s.targets.MarkDown(now, e.Target)
		}
	}
	select {
	case s.newEvents <- added:
	default:
		s.log.Warn("Events dropped because their queue is full.", "events", len(added))
	}
	if news {
		s.notify()
		s.signalUrgent()
	}
}

// discountLeaving turns news of the crash of a leaving target into EventDown: its end is
// not caused by a request. An agent that is sent the event later can't know that the
// target was leaving.
func (s *State) discountLeaving(now time.Time, received []control.Event) []control.Event {
	result := received
	for i, e := range received {
		if e.Kind != control.EventCrash || eventtable.IsHistory(e) || !s.targets.IsLeaving(now, e.Target) {
			continue
		}
		if &result[0] == &received[0] {
			result = slices.Clone(received)
		}
		result[i].Kind = control.EventDown
	}
	return result
}

// markTargetLeaving applies a leaving event to a target. The host that observes the
// target also sets the flag in the target's row, where it stays until the target
// restarts; on other hosts the mark expires.
func (s *State) markTargetLeaving(now time.Time, name string) {
	s.targets.MarkLeaving(now, name)
	row, exists := s.targets.Get(name)
	if exists && row.Owner == s.members.Self().Host && !row.Leaving {
		row.Leaving = true
		s.targets.Put(now, row)
	}
}

// notifyTargets notifies gateways of a change of targets. Load-only changes are rate
// limited, at an interval that grows with the number of targets, because gateways
// receive the whole table each time.
func (s *State) notifyTargets(now time.Time, topologyBefore int64) {
	interval := max(minLoadNotifyInterval, time.Duration(s.targets.Len())*loadNotifyIntervalPerTarget)
	if s.targets.TopologyVersion() == topologyBefore && now.Sub(s.loadsNotifiedAt) < interval {
		s.loadNotifyDue = true
		return
	}
	s.loadsNotifiedAt, s.loadNotifyDue = now, false
	s.notify()
}

// notify increments the version and wakes waiting gateways.
func (s *State) notify() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// signalUrgent requests an immediate exchange with the partners.
func (s *State) signalUrgent() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// Package state joins the tables that agents share (members, targets, news and
// the document) behind one lock, builds and answers the messages between
// agents, and tells waiting gateways of changes.
//
// Every method takes the time, so that tests drive many agents without clocks.
package state

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/docsync"
	"corianderhitch/internal/agent/events"
	"corianderhitch/internal/agent/membership"
	"corianderhitch/internal/agent/observer"
	"corianderhitch/internal/logging"
)

// State is what one agent knows. It is safe for concurrent use.
type State struct {
	log         *slog.Logger
	environment string

	mu        sync.Mutex
	members   *membership.Table           // guarded by mu
	partners  *membership.PartnerSelector // guarded by mu
	targets   *observer.Table             // guarded by mu
	news      *events.Table               // guarded by mu
	document  *docsync.Holder             // guarded by mu
	ahead     string                      // address of a peer with a higher document revision, guarded by mu
	strangers []string                    // addresses to ask directly, guarded by mu
	storeUp   bool                        // whether the last call to the store succeeded, guarded by mu
	loadTold  time.Time                   // when waiting gateways were last told of loads, guarded by mu
	loadDue   bool                        // whether loads changed since, guarded by mu
	version   int64                       // guarded by mu
	changed   chan struct{}               // closed at the next change, guarded by mu

	urgent    chan struct{}        // of capacity 1; filled when a message should leave at once
	freshNews chan []control.Event // events for the duties that act on them
}

// newsBacklog bounds the events that wait for the duties. Beyond it events are
// dropped, which costs a later decision its hint.
const newsBacklog = 256

const (
	// minLoadPace is the shortest time between two tellings of loads to gateways,
	// which need them only while no owner of a pool answers them.
	minLoadPace = 250 * time.Millisecond
	// loadPacePerTarget makes it 5.4 s at 2,700 targets, whose table has 700 KB.
	loadPacePerTarget = 2 * time.Millisecond
)

// maxStrangers is the number of hosts asked after a read of the registration.
// One that answers brings its whole table.
const maxStrangers = 5

// New returns the state of an agent that knows only itself.
func New(log *slog.Logger, config membership.Config, self control.Member, environment string, seed uint64) *State {
	return &State{
		log:         logging.Part(log, "state"),
		environment: environment,
		members:     membership.NewTable(config, self),
		partners:    membership.NewPartnerSelector(seed),
		targets:     observer.NewTable(),
		news:        events.NewTable(),
		document:    docsync.NewHolder(environment),
		version:     1,
		changed:     make(chan struct{}),
		urgent:      make(chan struct{}, 1),
		freshNews:   make(chan []control.Event, newsBacklog),
	}
}

// Urgent yields a value when a message to peers should leave at once.
func (s *State) Urgent() <-chan struct{} { return s.urgent }

// FreshNews yields events that this agent had not seen before.
func (s *State) NewEvents() <-chan []control.Event { return s.freshNews }

// Version returns the version of the state and a channel that is closed at the
// next change.
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

// SetSelf changes the agent's own member record.
func (s *State) UpdateSelf(change func(*control.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Version()
	s.members.UpdateSelf(change)
	if s.members.Version() != before {
		s.touch()
		s.hurry()
	}
}

// Members returns all known members.
func (s *State) Members() []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Members()
}

// Live returns the members that take duties.
func (s *State) Live() []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Live()
}

// Member returns the record of a host.
func (s *State) Member(host string) (control.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Get(host)
}

// Introduce takes members that the store's registration lists, and returns how
// many of them are not known to live. Some of those are asked directly, since
// the list may be old.
func (s *State) DiscoverMembers(members []control.Member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var strangers []string
	for _, m := range members {
		known, ok := s.members.Get(m.Host)
		if m.AgentAddr != "" && (!ok || !membership.IsLive(known.State)) {
			strangers = append(strangers, m.AgentAddr)
		}
	}
	rand.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	s.strangers = strangers[:min(len(strangers), maxStrangers)]
	return len(strangers)
}

// Strangers returns the addresses to ask directly, and forgets them.
func (s *State) TakeProbeAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := append(s.strangers, s.members.TakeProbeAddresses()...)
	s.strangers = nil
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

// Layout returns a number that grows whenever hosts or more than the load of
// targets change.
func (s *State) TopologyVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Version() + s.targets.TopologyVersion()
}

// Target returns the row of a target as its observer wrote it.
func (s *State) Target(name string) (control.TargetState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Get(name)
}

// UpdateTarget changes the row of a target. The change gets the current row, or
// an empty one, and tells whether to write what it returns.
func (s *State) UpdateTarget(now time.Time, name string, change func(control.TargetState) (control.TargetState, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, _ := s.targets.Get(name)
	row, write := change(old)
	if !write {
		return
	}
	before := s.targets.TopologyVersion()
	if s.targets.Put(now, row) {
		s.hurry()
	}
	s.touchTargets(now, before)
}

// RefreshTarget lets the current load of a target travel to peers.
func (s *State) PublishLoad(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.PublishLoad(name)
}

// AddNews takes events that a gateway of this host saw.
func (s *State) AddEvents(now time.Time, events []control.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeNews(now, "", events)
}

// Document returns the document in force.
func (s *State) Document() docsync.Current {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document.Current()
}

// OfferDocument puts a document in force if its revision is higher.
func (s *State) ApplyDocumentIfNewer(revision int64, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offer(revision, content)
}

// SetStoreReachable records how the last call to the store ended.
func (s *State) SetStoreReachable(reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUp = reachable
}

// StoreReachable tells whether the last call to the store succeeded.
func (s *State) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUp
}

// Tick lets time pass in all tables.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Version() + s.targets.TopologyVersion()
	s.members.Tick(now)
	s.targets.SetFleetSize(len(s.members.Live()))
	s.targets.Tick(now)
	s.news.Tick(now)
	if s.members.Version()+s.targets.TopologyVersion() != before {
		s.touch()
	}
	if s.loadDue {
		s.touchTargets(now, s.targets.TopologyVersion())
	}
}

// Due returns the peers to exchange with in this period.
func (s *State) DuePeers(now time.Time, count int) []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partners.DuePeers(now, s.members, count)
}

// Partners returns the peers that urgent messages go to.
func (s *State) Partners(now time.Time) []control.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partners.Partners(now, s.members)
}

// Ahead returns the address of a peer that holds a higher document revision, or
// "", and forgets it.
func (s *State) TakeNewerDocumentPeer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.ahead
	s.ahead = ""
	return address
}

func (s *State) offer(revision int64, content []byte) {
	inForce, err := s.document.ApplyIfNewer(revision, content)
	if err != nil {
		s.log.Error("Document refused.", "revision", revision, "error", err)
		return
	}
	if !inForce {
		return
	}
	s.members.UpdateSelf(func(m *control.Member) { m.DocumentRevision = revision })
	s.log.Info("Document in force.", "revision", revision)
	s.touch()
	s.hurry()
}

func (s *State) takeNews(now time.Time, from string, events []control.Event) {
	fresh := s.news.Add(now, from, events, len(s.members.Live()))
	if len(fresh) == 0 {
		return
	}
	for _, e := range fresh {
		switch e.Kind {
		case control.EventLeaving:
			s.targetLeaving(now, e.Target)
		case control.EventDown, control.EventCrash:
			s.targets.MarkDown(now, e.Target)
		}
	}
	select {
	case s.freshNews <- fresh:
	default:
		s.log.Warn("News dropped, the duties are behind.", "events", len(fresh))
	}
	s.touch()
	s.hurry()
}

// targetLeaving marks a target by news. The host that observes it also writes
// its row, which holds until the target has started anew.
func (s *State) targetLeaving(now time.Time, name string) {
	s.targets.MarkLeaving(now, name)
	row, exists := s.targets.Get(name)
	if exists && row.Owner == s.members.Self().Host && !row.Leaving {
		row.Leaving = true
		s.targets.Put(now, row)
	}
}

// touchTargets tells waiting gateways of a change of targets: of a mere load at
// a pace that grows with the table, since they get it whole.
func (s *State) touchTargets(now time.Time, slowBefore int64) {
	pace := max(minLoadPace, time.Duration(s.targets.Len())*loadPacePerTarget)
	if s.targets.TopologyVersion() == slowBefore && now.Sub(s.loadTold) < pace {
		s.loadDue = true
		return
	}
	s.loadTold, s.loadDue = now, false
	s.touch()
}

func (s *State) touch() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) hurry() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

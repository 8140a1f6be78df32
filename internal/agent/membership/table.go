package membership

import (
	"sort"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
)

// row is one member with the time of its last change of state.
type row struct {
	control.Member
	since time.Time
}

// tombstone keeps the order numbers of a forgotten member, so that an old
// record cannot bring it back.
type tombstone struct {
	incarnation int64
	heartbeat   int64
	dropped     time.Time
	asked       time.Time // when the host was last asked directly whether it lives
}

// Table is the view that one member has of the fleet.
type Table struct {
	config     Config
	self       control.Member
	rows       map[string]*row // by host, without self
	tombstones map[string]tombstone
	claims     map[string]control.Member // deaths to tell the host itself, which refutes them
	doubts     []string                  // addresses of forgotten hosts that peers believe to live
	rumors     *gossip.Rumors
	lastTick   time.Time
	version    int64
	live       []control.Member  // of liveAt, never changed in place
	sums       *gossip.Checksums // of liveAt
	liveAt     int64             // version that live and sums belong to
}

// NewTable returns a table that knows only self, whose incarnation must be
// higher than that of its previous run.
func NewTable(config Config, self control.Member) *Table {
	self.State = control.MemberAlive
	self.Heartbeat = 1
	t := &Table{
		config:     config,
		self:       self,
		rows:       make(map[string]*row),
		tombstones: make(map[string]tombstone),
		claims:     make(map[string]control.Member),
		rumors:     gossip.NewRumors(),
		version:    1,
	}
	t.spreadRow(self.Host, "")
	return t
}

// Self returns the member's own record.
func (t *Table) Self() control.Member { return t.self }

// Version grows with every change of the table.
func (t *Table) Version() int64 { return t.version }

// SetSelf updates the member's own record. Its heartbeat rises, and the change
// spreads, only if state or gateway address change; document revisions are
// carried along without a message of their own.
func (t *Table) UpdateSelf(change func(*control.Member)) {
	before := t.self
	change(&t.self)
	t.self.Host, t.self.Incarnation, t.self.Heartbeat = before.Host, before.Incarnation, before.Heartbeat
	if before.State == control.MemberLeft {
		t.self.State = control.MemberLeft
	}
	if before.State != t.self.State || before.GatewayAddr != t.self.GatewayAddr {
		t.raise()
	}
}

// Merge takes records from the peer named from and returns the members whose
// record changed.
func (t *Table) Merge(now time.Time, from string, members []control.Member) []control.Member {
	var changed []control.Member
	for _, m := range members {
		if t.mergeOne(now, from, m) {
			changed = append(changed, m)
		}
	}
	return changed
}

// Heard takes a record that came from the member itself: it lives.
func (t *Table) RecordContact(now time.Time, m control.Member) {
	if !valid(m) || m.Host == t.self.Host {
		return
	}
	r := t.rows[m.Host]
	if r != nil && r.Incarnation == m.Incarnation {
		r.DocumentRevision = max(r.DocumentRevision, m.DocumentRevision)
		r.GatewayRevision = max(r.GatewayRevision, m.GatewayRevision)
	}
	if !t.mergeOne(now, m.Host, m) {
		t.claimDeath(m)
	}
}

// claimDeath tells a living host that it was forgotten as dead, so that it
// raises its heartbeat and is taken back by all.
func (t *Table) claimDeath(m control.Member) {
	old, forgotten := t.tombstones[m.Host]
	if t.rows[m.Host] != nil || !forgotten || old.incarnation != m.Incarnation {
		return
	}
	m.Heartbeat, m.State = max(m.Heartbeat, old.heartbeat), control.MemberDead
	t.claims[m.Host] = m
}

// Failed records that an exchange with the host failed.
func (t *Table) RecordFailure(now time.Time, host string) {
	r := t.rows[host]
	if r == nil || (r.State != control.MemberAlive && r.State != control.MemberDraining) {
		return
	}
	t.setState(now, r, control.MemberSuspect)
}

// Tick turns old suspicions into deaths and drops old rows. After a pause of
// this process the suspicions start anew, since the silence was its own.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > pausePeriods*t.config.Period
	t.lastTick = now
	t.rumors.Tick()
	for host, r := range t.rows {
		switch {
		case r.State == control.MemberSuspect && paused:
			r.since = now
		case r.State == control.MemberSuspect && now.Sub(r.since) >= t.config.SuspicionTimeout:
			t.setState(now, r, control.MemberDead)
		case !IsLive(r.State) && now.Sub(r.since) >= t.config.ForgetAfter:
			t.forget(now, host, r)
		}
	}
}

// Members returns all known members including self, sorted by host.
func (t *Table) Members() []control.Member {
	members := make([]control.Member, 0, len(t.rows)+1)
	members = append(members, t.self)
	for _, r := range t.rows {
		members = append(members, r.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Host < members[j].Host })
	return members
}

// Live returns the members that take duties, sorted by host. The slice is shared
// and must not be changed; its document revisions may be old.
func (t *Table) Live() []control.Member {
	t.derive()
	return t.live
}

// derive computes what follows from the rows, once a version.
func (t *Table) derive() {
	if t.liveAt == t.version {
		return
	}
	var live []control.Member
	sums := &gossip.Checksums{}
	for _, m := range t.Members() {
		if IsLive(m.State) {
			live = append(live, m)
			sums.Add(m.Host, gossip.Hash(m.Host, string(m.State), m.Incarnation, m.Heartbeat))
		}
	}
	t.live, t.sums, t.liveAt = live, sums, t.version
}

// Get returns the record of a host.
func (t *Table) Get(host string) (control.Member, bool) {
	if host == t.self.Host {
		return t.self, true
	}
	if r := t.rows[host]; r != nil {
		return r.Member, true
	}
	return control.Member{}, false
}

// HasClaim tells whether the host should hear that it was forgotten as dead.
func (t *Table) HasDeathReport(host string) bool {
	_, ok := t.claims[host]
	return ok
}

// HasRumors tells whether changes wait to be sent.
func (t *Table) HasRumors() bool { return t.rumors.Len() > 0 }

// TakeRumors returns changed records to send to the peer now. The own record is
// not among them, as every message carries it.
func (t *Table) TakeRumors(peer string) []control.Member {
	var members []control.Member
	if claim, ok := t.claims[peer]; ok {
		delete(t.claims, peer)
		members = append(members, claim)
	}
	for _, host := range t.rumors.Take(peer, maxRowsPerExchange) {
		if m, ok := t.Get(host); ok && host != t.self.Host {
			members = append(members, m)
		}
	}
	return members
}

// Sums returns the digest of the live members.
func (t *Table) Checksums() *gossip.Checksums {
	t.derive()
	return t.sums
}

// InBuckets returns the records in the marked buckets, dead and left ones too.
func (t *Table) InBuckets(marked [gossip.BucketCount]bool) []control.Member {
	var members []control.Member
	for _, m := range t.Members() {
		if marked[gossip.Bucket(m.Host)] && len(members) < maxRowsPerExchange {
			members = append(members, m)
		}
	}
	return members
}

func (t *Table) mergeOne(now time.Time, from string, m control.Member) bool {
	if !valid(m) {
		return false
	}
	if m.Host == t.self.Host {
		t.refute(m)
		return false
	}
	r := t.rows[m.Host]
	if r == nil {
		return t.insert(now, from, m)
	}
	if !Newer(m, r.Member) {
		if !Newer(r.Member, m) {
			t.rumors.MarkKnown(m.Host, from)
		}
		return false
	}
	if m.State != r.State {
		r.since = now
	}
	m.DocumentRevision, m.GatewayRevision = laterRevisions(r.Member, m)
	r.Member = m
	t.spreadRow(m.Host, from)
	return true
}

// insert adds an unknown member. Records of dead members and records that are
// not newer than a forgotten one are dropped.
func (t *Table) insert(now time.Time, from string, m control.Member) bool {
	if !IsLive(m.State) {
		return false
	}
	if old, ok := t.tombstones[m.Host]; ok {
		if m.Incarnation < old.incarnation || (m.Incarnation == old.incarnation && m.Heartbeat <= old.heartbeat) {
			t.doubt(now, m, old)
			return false
		}
		delete(t.tombstones, m.Host)
	}
	t.rows[m.Host] = &row{Member: m, since: now}
	t.spreadRow(m.Host, from)
	return true
}

// doubt remembers to ask a forgotten host that a peer believes to live, now and
// then. If it lives it raises its heartbeat and is taken back by all.
func (t *Table) doubt(now time.Time, m control.Member, old tombstone) {
	if now.Sub(old.asked) < askAgainAfter || len(t.doubts) >= maxDoubts {
		return
	}
	old.asked = now
	t.tombstones[m.Host] = old
	t.doubts = append(t.doubts, m.AgentAddr)
}

// TakeDoubts returns the addresses of hosts to ask directly, and forgets them.
func (t *Table) TakeProbeAddresses() []string {
	addresses := t.doubts
	t.doubts = nil
	return addresses
}

// refute answers a claim about this member that is not true: it raises the
// heartbeat above that of the claim.
func (t *Table) refute(claim control.Member) {
	if claim.Incarnation != t.self.Incarnation || claim.State == t.self.State {
		return
	}
	if t.self.State == control.MemberLeft || !Newer(claim, t.self) {
		return
	}
	t.self.Heartbeat = max(t.self.Heartbeat, claim.Heartbeat)
	t.raise()
}

func (t *Table) raise() {
	t.self.Heartbeat++
	t.spreadRow(t.self.Host, "")
}

func (t *Table) setState(now time.Time, r *row, state control.MemberState) {
	r.State = state
	r.since = now
	t.spreadRow(r.Host, "")
}

func (t *Table) spreadRow(host, from string) {
	t.version++
	t.rumors.Start(host, gossip.MaxSends(len(t.rows)+1), from)
}

func (t *Table) forget(now time.Time, host string, r *row) {
	delete(t.rows, host)
	t.version++
	if len(t.tombstones) >= maxTombstones {
		t.dropOldestTombstone()
	}
	t.tombstones[host] = tombstone{incarnation: r.Incarnation, heartbeat: r.Heartbeat, dropped: now}
}

func (t *Table) dropOldestTombstone() {
	oldest := ""
	for host, s := range t.tombstones {
		if oldest == "" || s.dropped.Before(t.tombstones[oldest].dropped) {
			oldest = host
		}
	}
	delete(t.tombstones, oldest)
}

func laterRevisions(old, fresh control.Member) (document, gateway int64) {
	if old.Incarnation != fresh.Incarnation {
		return fresh.DocumentRevision, fresh.GatewayRevision
	}
	return max(old.DocumentRevision, fresh.DocumentRevision), max(old.GatewayRevision, fresh.GatewayRevision)
}

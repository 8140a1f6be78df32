package membership

import (
	"sort"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
)

// row is one member with the time of its last state change.
type row struct {
	control.Member
	stateSince time.Time
}

// tombstone keeps the incarnation and heartbeat of a removed member, so that an old
// record cannot restore it.
type tombstone struct {
	incarnation int64
	heartbeat   int64
	removedAt   time.Time
	probedAt    time.Time // last direct probe of the host
}

// Table is the view that one member has of the fleet.
type Table struct {
	config         Config
	self           control.Member
	rows           map[string]*row // by host, without self
	tombstones     map[string]tombstone
	deathReports   map[string]control.Member // by host: records to send to a live host that was removed as dead, so that it refutes them
	probeAddresses []string                  // addresses of removed hosts that peers report as live
	rumors         *gossip.Rumors
	lastTick       time.Time
	version        int64
	live           []control.Member  // as of derivedVersion; never modified in place
	checksums      *gossip.Checksums // as of derivedVersion
	derivedVersion int64             // version that live and checksums belong to
}

// NewTable returns a table whose only member is self. The incarnation must be higher
// than in any previous run of the host.
func NewTable(config Config, self control.Member) *Table {
	self.State = control.MemberAlive
	self.Heartbeat = 1
	t := &Table{
		config:       config,
		self:         self,
		rows:         make(map[string]*row),
		tombstones:   make(map[string]tombstone),
		deathReports: make(map[string]control.Member),
		rumors:       gossip.NewRumors(),
		version:      1,
	}
	t.startRumor(self.Host, "")
	return t
}

// Self returns this member's own record.
func (t *Table) Self() control.Member { return t.self }

// Version returns a number that grows with every change of the table.
func (t *Table) Version() int64 { return t.version }

// UpdateSelf changes this member's own record, except for its host, incarnation and
// heartbeat. The change is spread only if the state or the gateway address differs;
// document revisions are carried by later messages. A member that has left stays so.
func (t *Table) UpdateSelf(change func(*control.Member)) {
	before := t.self
	change(&t.self)
	t.self.Host, t.self.Incarnation, t.self.Heartbeat = before.Host, before.Incarnation, before.Heartbeat
	if before.State == control.MemberLeft {
		t.self.State = control.MemberLeft
	}
	if before.State != t.self.State || before.GatewayAddr != t.self.GatewayAddr {
		t.raiseHeartbeat()
	}
}

// Merge merges records received from the peer named from and returns those that
// changed the table.
func (t *Table) Merge(now time.Time, from string, members []control.Member) []control.Member {
	var changed []control.Member
	for _, m := range members {
		if t.mergeOne(now, from, m) {
			changed = append(changed, m)
		}
	}
	return changed
}

// RecordContact merges a record that was received from the member itself, which
// proves that it is alive.
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
		t.reportDeath(m)
	}
}

// reportDeath queues a record that tells a live host that it was removed as dead, so
// that it raises its heartbeat and all members add it again.
func (t *Table) reportDeath(m control.Member) {
	old, removed := t.tombstones[m.Host]
	if t.rows[m.Host] != nil || !removed || old.incarnation != m.Incarnation {
		return
	}
	m.Heartbeat, m.State = max(m.Heartbeat, old.heartbeat), control.MemberDead
	t.deathReports[m.Host] = m
}

// RecordFailure records that an exchange with the host failed, which makes an alive
// or draining member a suspect.
func (t *Table) RecordFailure(now time.Time, host string) {
	r := t.rows[host]
	if r == nil || (r.State != control.MemberAlive && r.State != control.MemberDraining) {
		return
	}
	t.setState(now, r, control.MemberSuspect)
}

// Tick declares suspects dead after the suspicion timeout and removes old rows. After
// a pause of this process the timeouts start again, since it could not have received
// any refutations.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > pausePeriods*t.config.Period
	t.lastTick = now
	t.rumors.Tick()
	for host, r := range t.rows {
		switch {
		case r.State == control.MemberSuspect && paused:
			r.stateSince = now
		case r.State == control.MemberSuspect && now.Sub(r.stateSince) >= t.config.SuspicionTimeout:
			t.setState(now, r, control.MemberDead)
		case !IsLive(r.State) && now.Sub(r.stateSince) >= t.config.RemoveAfter:
			t.remove(now, host, r)
		}
	}
}

// Members returns all known members including self and dead ones, sorted by host.
func (t *Table) Members() []control.Member {
	members := make([]control.Member, 0, len(t.rows)+1)
	members = append(members, t.self)
	for _, r := range t.rows {
		members = append(members, r.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Host < members[j].Host })
	return members
}

// Live returns the live members (see IsLive), sorted by host. The slice is shared and
// must not be changed; its document revisions may be out of date.
func (t *Table) Live() []control.Member {
	t.refreshDerived()
	return t.live
}

// refreshDerived recomputes live and checksums if the table has changed.
func (t *Table) refreshDerived() {
	if t.derivedVersion == t.version {
		return
	}
	var live []control.Member
	checksums := &gossip.Checksums{}
	for _, m := range t.Members() {
		if IsLive(m.State) {
			live = append(live, m)
			checksums.Add(m.Host, gossip.Hash(m.Host, string(m.State), m.Incarnation, m.Heartbeat))
		}
	}
	t.live, t.checksums, t.derivedVersion = live, checksums, t.version
}

// Get returns the record of a host and whether the host is known.
func (t *Table) Get(host string) (control.Member, bool) {
	if host == t.self.Host {
		return t.self, true
	}
	if r := t.rows[host]; r != nil {
		return r.Member, true
	}
	return control.Member{}, false
}

// HasDeathReport reports whether a record waits to be sent that tells the host that it
// was removed as dead.
func (t *Table) HasDeathReport(host string) bool {
	_, ok := t.deathReports[host]
	return ok
}

// HasRumors reports whether changes wait to be sent.
func (t *Table) HasRumors() bool { return t.rumors.Len() > 0 }

// TakeRumors returns changed records to send to the peer now, and counts them as
// sent. This member's own record is not included, since every message carries it.
func (t *Table) TakeRumors(peer string) []control.Member {
	var members []control.Member
	if report, ok := t.deathReports[peer]; ok {
		delete(t.deathReports, peer)
		members = append(members, report)
	}
	for _, host := range t.rumors.Take(peer, maxRowsPerExchange) {
		if m, ok := t.Get(host); ok && host != t.self.Host {
			members = append(members, m)
		}
	}
	return members
}

// Checksums returns the checksums of the live members. They are shared and must not be
// changed.
func (t *Table) Checksums() *gossip.Checksums {
	t.refreshDerived()
	return t.checksums
}

// InBuckets returns the records in the given buckets, including members that are dead
// or have left, up to maxRowsPerExchange.
func (t *Table) InBuckets(buckets [gossip.BucketCount]bool) []control.Member {
	var members []control.Member
	for _, m := range t.Members() {
		if buckets[gossip.Bucket(m.Host)] && len(members) < maxRowsPerExchange {
			members = append(members, m)
		}
	}
	return members
}

// mergeOne merges one record from the peer named from and reports whether it changed
// the table.
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
		r.stateSince = now
	}
	m.DocumentRevision, m.GatewayRevision = mergeRevisions(r.Member, m)
	r.Member = m
	t.startRumor(m.Host, from)
	return true
}

// insert adds an unknown member and reports whether it did. Records that are not live
// or not newer than the tombstone of the member are ignored.
func (t *Table) insert(now time.Time, from string, m control.Member) bool {
	if !IsLive(m.State) {
		return false
	}
	if old, ok := t.tombstones[m.Host]; ok {
		if m.Incarnation < old.incarnation || (m.Incarnation == old.incarnation && m.Heartbeat <= old.heartbeat) {
			t.queueProbe(now, m, old)
			return false
		}
		delete(t.tombstones, m.Host)
	}
	t.rows[m.Host] = &row{Member: m, stateSince: now}
	t.startRumor(m.Host, from)
	return true
}

// queueProbe queues a direct exchange with a removed host that a peer reports as
// live, at most once per probeInterval. If the host is alive it raises its heartbeat
// and all members add it again.
func (t *Table) queueProbe(now time.Time, m control.Member, old tombstone) {
	if now.Sub(old.probedAt) < probeInterval || len(t.probeAddresses) >= maxProbes {
		return
	}
	old.probedAt = now
	t.tombstones[m.Host] = old
	t.probeAddresses = append(t.probeAddresses, m.AgentAddr)
}

// TakeProbeAddresses returns and clears the addresses of hosts to probe directly.
func (t *Table) TakeProbeAddresses() []string {
	addresses := t.probeAddresses
	t.probeAddresses = nil
	return addresses
}

// refute overrides a wrong record of this member's state by raising the heartbeat
// above that of the record.
func (t *Table) refute(report control.Member) {
	if report.Incarnation != t.self.Incarnation || report.State == t.self.State {
		return
	}
	if t.self.State == control.MemberLeft || !Newer(report, t.self) {
		return
	}
	t.self.Heartbeat = max(t.self.Heartbeat, report.Heartbeat)
	t.raiseHeartbeat()
}

// raiseHeartbeat increments this member's heartbeat and spreads its record.
func (t *Table) raiseHeartbeat() {
	t.self.Heartbeat++
	t.startRumor(t.self.Host, "")
}

func (t *Table) setState(now time.Time, r *row, state control.MemberState) {
	r.State = state
	r.stateSince = now
	t.startRumor(r.Host, "")
}

// startRumor records a change of the host's row and starts to spread it. From is the
// peer that sent the change, or empty.
func (t *Table) startRumor(host, from string) {
	t.version++
	t.rumors.Start(host, gossip.MaxSends(len(t.rows)+1), from)
}

// remove removes a row and leaves a tombstone.
func (t *Table) remove(now time.Time, host string, r *row) {
	delete(t.rows, host)
	t.version++
	if len(t.tombstones) >= maxTombstones {
		t.dropOldestTombstone()
	}
	t.tombstones[host] = tombstone{incarnation: r.Incarnation, heartbeat: r.Heartbeat, removedAt: now}
}

func (t *Table) dropOldestTombstone() {
	oldest := ""
	for host, candidate := range t.tombstones {
		if oldest == "" || candidate.removedAt.Before(t.tombstones[oldest].removedAt) {
			oldest = host
		}
	}
	delete(t.tombstones, oldest)
}

// mergeRevisions returns the document revisions of a record that replaces previous.
// Within one incarnation they never decrease.
func mergeRevisions(previous, replacement control.Member) (document, gateway int64) {
	if previous.Incarnation != replacement.Incarnation {
		return replacement.DocumentRevision, replacement.GatewayRevision
	}
	return max(previous.DocumentRevision, replacement.DocumentRevision), max(previous.GatewayRevision, replacement.GatewayRevision)
}

package observer

import (
	"sort"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
	"corianderhitch/internal/platform"
)

const (
	// keepLeft is how long the row of a target that left the platform's list is
	// kept, so that older rows cannot bring it back.
	keepLeft = 10 * time.Minute
	// leavingHold is how long news of leaving hold without a confirming row. The
	// observing host confirms within one poll.
	leavingHold = 30 * time.Second
	// downHold is how long news of a broken target hold without a confirming row.
	downHold = 2 * time.Second
	// maxRowsPerExchange bounds the rows of one message, about 250 bytes each.
	maxRowsPerExchange = 64
	// refreshSends is how often a host passes on a mere load report. A lost one
	// is replaced by the next.
	refreshSends = 3
)

// Table is the view that one host has of all targets. It is a state machine
// without I/O, clock or goroutine, and is not safe for concurrent use.
type Table struct {
	rows     map[string]*control.TargetState // by target name
	leftAt   map[string]time.Time
	overlays map[string]overlay
	rumors   *gossip.Rumors
	members  int
	version  int64
	slow     int64
	sums     *gossip.Checksums // nil after a change of more than load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows:     make(map[string]*control.TargetState),
		leftAt:   make(map[string]time.Time),
		overlays: make(map[string]overlay),
		rumors:   gossip.NewRumors(),
	}
}

// SetMembers tells the size of the fleet, from which the reach of a rumor follows.
func (t *Table) SetFleetSize(n int) { t.members = n }

// Version grows with every change of a row.
func (t *Table) Version() int64 { return t.version }

// SlowVersion grows with every change of more than load.
func (t *Table) TopologyVersion() int64 { return t.slow }

// Len returns the number of targets in the platform's list.
func (t *Table) Len() int { return len(t.rows) - len(t.leftAt) }

// Merge takes rows from a peer and returns how many replaced older ones.
func (t *Table) Merge(now time.Time, from string, rows []control.TargetState) int {
	changed := 0
	for _, r := range rows {
		if valid(r) && t.mergeOne(now, from, r) {
			changed++
		}
	}
	return changed
}

// Put writes a row of this host: the version rises if more than the load
// changed. It tells whether the version rose.
func (t *Table) Put(now time.Time, r control.TargetState) bool {
	old, exists := t.rows[r.Name]
	if exists && same(*old, r) {
		r.Version = old.Version
		t.rows[r.Name] = &r
		t.version++
		return false
	}
	r.Version = 1
	if exists {
		r.Version = old.Version + 1
	}
	t.store(now, r)
	t.rumors.Start(r.Name, gossip.MaxSends(t.members), "")
	return true
}

// Refresh lets the current load of a row travel to peers.
func (t *Table) PublishLoad(name string) {
	if _, exists := t.rows[name]; exists {
		t.rumors.Start(name, refreshSends, "")
	}
}

// Get returns the row of a target as written, without overlays.
func (t *Table) Get(name string) (control.TargetState, bool) {
	r, ok := t.rows[name]
	if !ok {
		return control.TargetState{}, false
	}
	return *r, true
}

// Listed returns the rows of all targets in the platform's list, sorted by
// name, with what news say applied.
func (t *Table) Listed(now time.Time) []control.TargetState {
	listed := make([]control.TargetState, 0, len(t.rows))
	for name, r := range t.rows {
		if r.Left {
			continue
		}
		row := *r
		o := t.overlays[name]
		row.Leaving = row.Leaving || now.Before(o.leavingUntil)
		row.Healthy = row.Healthy && !now.Before(o.downUntil)
		listed = append(listed, row)
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Name < listed[j].Name })
	return listed
}

// Leaving applies news that the target refuses new work because it is leaving.
func (t *Table) MarkLeaving(now time.Time, name string) {
	o := t.overlays[name]
	o.leavingUntil = now.Add(leavingHold)
	t.overlays[name] = o
	t.version++
	t.slow++
}

// Down applies news that the target broke a connection.
func (t *Table) MarkDown(now time.Time, name string) {
	o := t.overlays[name]
	o.downUntil = now.Add(downHold)
	t.overlays[name] = o
	t.version++
	t.slow++
}

// Tick drops rows and overlays that have outlived their use.
func (t *Table) Tick(now time.Time) {
	t.rumors.Tick()
	for name, at := range t.leftAt {
		if now.Sub(at) >= keepLeft {
			delete(t.leftAt, name)
			delete(t.rows, name)
			t.rumors.Drop(name)
		}
	}
	for name, o := range t.overlays {
		if !now.Before(o.leavingUntil) && !now.Before(o.downUntil) {
			delete(t.overlays, name)
			t.version++
			t.slow++
		}
	}
}

// HasRumors tells whether rows wait to be sent.
func (t *Table) HasRumors() bool { return t.rumors.Len() > 0 }

// TakeRumors returns changed rows to send to the peer now.
func (t *Table) TakeRumors(peer string) []control.TargetState {
	var rows []control.TargetState
	for _, name := range t.rumors.Take(peer, maxRowsPerExchange) {
		if r, ok := t.rows[name]; ok {
			rows = append(rows, *r)
		}
	}
	return rows
}

// Sums returns the digest of the rows in the platform's list.
func (t *Table) Checksums() *gossip.Checksums {
	if t.sums != nil {
		return t.sums
	}
	t.sums = &gossip.Checksums{}
	for name, r := range t.rows {
		if !r.Left {
			t.sums.Add(name, rowHash(*r))
		}
	}
	return t.sums
}

// InBuckets returns the rows in the marked buckets, those of targets that left too.
func (t *Table) InBuckets(marked [gossip.BucketCount]bool) []control.TargetState {
	var rows []control.TargetState
	for name, r := range t.rows {
		if marked[gossip.Bucket(name)] && len(rows) < maxRowsPerExchange {
			rows = append(rows, *r)
		}
	}
	return rows
}

func (t *Table) mergeOne(now time.Time, from string, r control.TargetState) bool {
	old, exists := t.rows[r.Name]
	if !exists && r.Left {
		return false
	}
	if exists && !Supersedes(r, *old) {
		if !Supersedes(*old, r) {
			t.rumors.MarkKnown(r.Name, from)
		}
		return false
	}
	sends := gossip.MaxSends(t.members)
	if exists && old.Version == r.Version {
		sends = refreshSends
	}
	t.store(now, r)
	t.rumors.Start(r.Name, sends, from)
	return true
}

func (t *Table) store(now time.Time, r control.TargetState) {
	if old, exists := t.rows[r.Name]; !exists || old.Left != r.Left || rowHash(*old) != rowHash(r) {
		t.sums = nil
		t.slow++
	}
	t.rows[r.Name] = &r
	t.version++
	if r.Left {
		t.leftAt[r.Name] = now
		return
	}
	delete(t.leftAt, r.Name)
	if r.Leaving {
		t.confirmLeaving(r.Name)
	}
}

func (t *Table) confirmLeaving(name string) {
	o, ok := t.overlays[name]
	if !ok {
		return
	}
	o.leavingUntil = time.Time{}
	t.overlays[name] = o
}

// Kind returns the rows of one kind of targets in the platform's list.
func FilterByKind(rows []control.TargetState, kind platform.TargetKind) []control.TargetState {
	var kept []control.TargetState
	for _, r := range rows {
		if r.Kind == kind {
			kept = append(kept, r)
		}
	}
	return kept
}

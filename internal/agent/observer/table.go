package observer

import (
	"sort"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
	"corianderhitch/internal/platform"
)

const (
	// leftRetention is how long the row of a target that left the platform's list is
	// kept, so that older rows from peers can't restore it.
	leftRetention = 10 * time.Minute
	// leavingOverlayTTL is how long a leaving event applies if no host that confirmed it
	// in the target's row clears it earlier. The observing host confirms it within one poll.
	leavingOverlayTTL = 30 * time.Second
	// downOverlayTTL is how long a broken-connection event applies without a
	// confirming row.
	downOverlayTTL = 2 * time.Second
	// maxRowsPerExchange bounds the rows of one message. Each takes about 250 bytes.
	maxRowsPerExchange = 64
	// maxLoadSends is the number of times that a host sends on a change of only the
	// load. It is low, since a lost change is superseded by the next.
	maxLoadSends = 3
)

// Table is one host's view of all targets. It is a state machine without I/O, clock or
// goroutine, and is not safe for concurrent use.
type Table struct {
	rows            map[string]*control.TargetState // by target name
	leftAt          map[string]time.Time            // by target name
	overlays        map[string]overlay
	rumors          *gossip.Rumors
	fleetSize       int
	version         int64
	topologyVersion int64
	checksums       *gossip.Checksums // nil after a change of more than load
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

// SetFleetSize sets the number of hosts, which determines how often a rumor is sent.
func (t *Table) SetFleetSize(n int) { t.fleetSize = n }

// Version grows with every change of a row or an overlay.
func (t *Table) Version() int64 { return t.version }

// TopologyVersion grows with every change of more than load.
func (t *Table) TopologyVersion() int64 { return t.topologyVersion }

// Len returns the number of targets in the platform's list.
func (t *Table) Len() int { return len(t.rows) - len(t.leftAt) }

// Merge merges rows from a peer and returns how many replaced older ones.
func (t *Table) Merge(now time.Time, from string, rows []control.TargetState) int {
	changed := 0
	for _, r := range rows {
		if isValid(r) && t.mergeRow(now, from, r) {
			changed++
		}
	}
	return changed
}

// Put writes a row of this host and reports whether its version rose. The version
// rises if more than the load changed.
func (t *Table) Put(now time.Time, r control.TargetState) bool {
	old, exists := t.rows[r.Name]
	if exists && sameExceptLoad(*old, r) {
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
	t.rumors.Start(r.Name, gossip.MaxSends(t.fleetSize), "")
	return true
}

// PublishLoad queues the current load of a row for sending to peers.
func (t *Table) PublishLoad(name string) {
	if _, exists := t.rows[name]; exists {
		t.rumors.Start(name, maxLoadSends, "")
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

// ForUpdate returns the row of a target for its observing host to update. It is leaving if
// an event says so that the row does not show, as after rows of two hosts crossed.
func (t *Table) ForUpdate(now time.Time, name string) control.TargetState {
	r, ok := t.rows[name]
	if !ok {
		return control.TargetState{}
	}
	row := *r
	row.Leaving = row.Leaving || now.Before(t.overlays[name].leavingUntil)
	return row
}

// Listed returns the rows of all targets in the platform's list, sorted by name, with
// overlays applied.
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

// IsLeaving reports whether a target is known to be leaving.
func (t *Table) IsLeaving(now time.Time, name string) bool {
	r, exists := t.rows[name]
	return exists && (r.Leaving || r.Load.Leaving || now.Before(t.overlays[name].leavingUntil))
}

// MarkLeaving records an event that the target rejects new work because it is leaving.
func (t *Table) MarkLeaving(now time.Time, name string) {
	o := t.overlays[name]
	o.leavingUntil, o.confirmedBy = now.Add(leavingOverlayTTL), ""
	if r, exists := t.rows[name]; exists && r.Leaving {
		o.confirmedBy = r.Owner
	}
	t.overlays[name] = o
	t.version++
	t.topologyVersion++
}

// MarkDown records an event that a connection to the target broke.
func (t *Table) MarkDown(now time.Time, name string) {
	o := t.overlays[name]
	o.downUntil = now.Add(downOverlayTTL)
	t.overlays[name] = o
	t.version++
	t.topologyVersion++
}

// Tick drops expired rows and overlays, and ages the rumors.
func (t *Table) Tick(now time.Time) {
	t.rumors.Tick()
	for name, at := range t.leftAt {
		if now.Sub(at) >= leftRetention {
			delete(t.leftAt, name)
			delete(t.rows, name)
			t.rumors.Drop(name)
		}
	}
	for name, o := range t.overlays {
		if !now.Before(o.leavingUntil) && !now.Before(o.downUntil) {
			delete(t.overlays, name)
			t.version++
			t.topologyVersion++
		}
	}
}

// HasRumors reports whether rows wait to be sent.
func (t *Table) HasRumors() bool { return t.rumors.Len() > 0 }

// TakeRumors returns the changed rows to send to the peer now.
func (t *Table) TakeRumors(peer string) []control.TargetState {
	var rows []control.TargetState
	for _, name := range t.rumors.Take(peer, maxRowsPerExchange) {
		if r, ok := t.rows[name]; ok {
			rows = append(rows, *r)
		}
	}
	return rows
}

// Checksums returns the checksums of the rows in the platform's list.
func (t *Table) Checksums() *gossip.Checksums {
	if t.checksums != nil {
		return t.checksums
	}
	t.checksums = &gossip.Checksums{}
	for name, r := range t.rows {
		if !r.Left {
			t.checksums.Add(name, rowHash(*r))
		}
	}
	return t.checksums
}

// InBuckets returns the rows in the marked buckets, including those of targets that
// have left.
func (t *Table) InBuckets(marked [gossip.BucketCount]bool) []control.TargetState {
	var rows []control.TargetState
	for name, r := range t.rows {
		if marked[gossip.Bucket(name)] && len(rows) < maxRowsPerExchange {
			rows = append(rows, *r)
		}
	}
	return rows
}

// mergeRow merges one row from the peer named from and reports whether the row was
// stored.
func (t *Table) mergeRow(now time.Time, from string, r control.TargetState) bool {
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
	sends := gossip.MaxSends(t.fleetSize)
	if exists && old.Version == r.Version {
		sends = maxLoadSends
	}
	t.store(now, r)
	t.rumors.Start(r.Name, sends, from)
	return true
}

// store adds or replaces a row and updates what is derived from the rows.
func (t *Table) store(now time.Time, r control.TargetState) {
	if old, exists := t.rows[r.Name]; !exists || old.Left != r.Left || rowHash(*old) != rowHash(r) {
		t.checksums = nil
		t.topologyVersion++
	}
	t.rows[r.Name] = &r
	t.version++
	if r.Left {
		t.leftAt[r.Name] = now
		return
	}
	delete(t.leftAt, r.Name)
	t.updateLeavingOverlay(r)
}

// updateLeavingOverlay ends the leaving overlay of a target when the host that confirmed
// it in a row writes that the target is not leaving any more. A row of another host may
// have been written without knowing of the event.
func (t *Table) updateLeavingOverlay(r control.TargetState) {
	o, ok := t.overlays[r.Name]
	switch {
	case !ok:
		return
	case r.Leaving:
		o.confirmedBy = r.Owner
	case o.confirmedBy != "" && o.confirmedBy == r.Owner:
		o.leavingUntil, o.confirmedBy = time.Time{}, ""
	}
	t.overlays[r.Name] = o
}

// FilterByKind returns the rows of targets of one kind.
func FilterByKind(rows []control.TargetState, kind platform.TargetKind) []control.TargetState {
	var matching []control.TargetState
	for _, r := range rows {
		if r.Kind == kind {
			matching = append(matching, r)
		}
	}
	return matching
}

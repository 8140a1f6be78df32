// Package relay lets a few hosts, the hubs, follow the store for the whole fleet.
// Each call to the store is paid for, and if every host watched the store, the cost
// would grow with each host; the other hosts get the same changes from the hubs.
package relay

import (
	"sync"

	"corianderhitch/internal/edge/feed"
	"corianderhitch/internal/platform"
)

// maxKeptEvents bounds the changes that are kept for hosts that lag behind; one that
// lags further gets the whole list.
const maxKeptEvents = 512

// Changes bring a list of entries from one revision to a later one.
type Changes struct {
	Revision platform.Revision
	Whole    bool // Entries replace everything
	Settling bool // with Whole: entries that are missing must be kept, see feed.Sink
	Large    bool // with Whole: Entries are left out, and must be asked for
	Entries  []platform.Entry
	Events   []platform.Event
}

// Bytes returns about how long the changes are.
func (c *Changes) Bytes() int {
	const perEntry = 16 // revision, lease and lengths
	n := 0
	for i := range c.Entries {
		n += perEntry + len(c.Entries[i].Key) + len(c.Entries[i].Value)
	}
	for i := range c.Events {
		n += perEntry + len(c.Events[i].Entry.Key) + len(c.Events[i].Entry.Value)
	}
	return n
}

// ChangeLog keeps a list of entries with its latest changes and passes them to a
// sink. It never goes back to an older revision. It is safe for concurrent use.
type ChangeLog struct {
	sink feed.Sink

	mu          sync.Mutex
	entries     map[string]platform.Entry // guarded by mu
	events      []platform.Event          // guarded by mu; in ascending order of revision
	eventsAfter platform.Revision         // guarded by mu; events holds all changes after this revision
	revision    platform.Revision         // guarded by mu
	settling    bool                      // guarded by mu; the last list was not settled
}

// NewChangeLog returns an empty log that passes changes to sink.
func NewChangeLog(sink feed.Sink) *ChangeLog {
	return &ChangeLog{sink: sink, entries: make(map[string]platform.Entry)}
}

var _ feed.Sink = (*ChangeLog)(nil)

// Replace implements feed.Sink.
func (l *ChangeLog) Replace(entries []platform.Entry, revision platform.Revision, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.revision {
		return
	}
	if settled {
		clear(l.entries)
	}
	for _, e := range entries {
		l.entries[e.Key] = e
	}
	l.events, l.eventsAfter, l.revision, l.settling = nil, revision, revision, !settled
	l.sink.Replace(entries, revision, settled)
}

// Apply implements feed.Sink.
func (l *ChangeLog) Apply(events []platform.Event, revision platform.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLocked(events, revision)
}

// applyLocked applies the events that are newer than the list. Callers hold l.mu.
func (l *ChangeLog) applyLocked(events []platform.Event, revision platform.Revision) {
	var applied []platform.Event
	for _, e := range events {
		if e.Entry.Revision <= l.revision {
			continue
		}
		if e.Deleted {
			delete(l.entries, e.Entry.Key)
		} else {
			l.entries[e.Entry.Key] = e.Entry
		}
		applied = append(applied, e)
	}
	l.events = append(l.events, applied...)
	if excess := len(l.events) - maxKeptEvents; excess > 0 {
		l.eventsAfter = l.events[excess-1].Entry.Revision
		l.events = append([]platform.Event(nil), l.events[excess:]...)
	}
	l.revision = max(l.revision, revision)
	if len(applied) > 0 {
		l.sink.Apply(applied, l.revision)
	}
}

// Revision returns the revision of the list, 0 before the first list.
func (l *ChangeLog) Revision() platform.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Settling reports whether the list may hold entries that the store lacks.
func (l *ChangeLog) Settling() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settling
}

// Since returns the changes after a revision, for a host whose list is settling or not.
func (l *ChangeLog) Since(revision platform.Revision, settling bool) Changes {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Changes{Revision: l.revision}
	settles := settling && !l.settling && revision <= l.revision
	if l.revision == 0 || (revision >= l.revision && !settles) {
		return c
	}
	if revision == 0 || revision < l.eventsAfter || settles {
		c.Whole, c.Settling = true, l.settling
		for _, e := range l.entries {
			c.Entries = append(c.Entries, e)
		}
		return c
	}
	for _, e := range l.events {
		if e.Entry.Revision > revision {
			c.Events = append(c.Events, e)
		}
	}
	return c
}

// ApplyChanges applies the changes that another host's log returned.
func (l *ChangeLog) ApplyChanges(c Changes) {
	if c.Whole {
		if own := l.Revision(); c.Revision > own || (c.Revision == own && l.Settling()) {
			l.Replace(c.Entries, c.Revision, !c.Settling)
		}
		return
	}
	l.Apply(c.Events, c.Revision)
}

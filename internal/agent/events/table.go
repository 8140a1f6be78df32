// Package events spreads events that gateways observed on the data path to all hosts
// and suppresses duplicates.
package events

import (
	"container/list"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
)

const (
	// retention is how long an event is kept for the suppression of duplicates. It far
	// exceeds the time for which an event is sent, which is seconds.
	retention = 5 * time.Minute
	// maxEvents bounds the memory, at about 200 bytes an event.
	maxEvents = 4096
	// maxPerExchange bounds the events of one message.
	maxPerExchange = 64
	// maxSuspects bounds the fingerprints in the Beside field of a crash event.
	maxSuspects = 256
)

// Table holds recent events. It is not safe for concurrent use.
type Table struct {
	byID   map[string]*list.Element // by event id
	order  *list.List               // of entry, oldest first
	rumors *gossip.Rumors
}

type entry struct {
	control.Event
	receivedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: make(map[string]*list.Element), order: list.New(), rumors: gossip.NewRumors()}
}

// Add adds events received from a peer or, if from is empty, from a gateway, and returns
// those that are new. Events without an id or kind are ignored. The count of members
// determines how often each new event is sent.
func (t *Table) Add(now time.Time, from string, events []control.Event, memberCount int) []control.Event {
	var added []control.Event
	for _, e := range events {
		if e.ID == "" || e.Kind == "" {
			continue
		}
		if _, seen := t.byID[e.ID]; seen {
			t.rumors.MarkKnown(e.ID, from)
			continue
		}
		e.Beside = e.Beside[:min(len(e.Beside), maxSuspects)]
		t.byID[e.ID] = t.order.PushBack(entry{Event: e, receivedAt: now})
		t.rumors.Start(e.ID, gossip.MaxSends(memberCount), from)
		added = append(added, e)
	}
	t.expire(now)
	return added
}

// Tick advances the rumors by one period and removes expired events.
func (t *Table) Tick(now time.Time) {
	t.rumors.Tick()
	t.expire(now)
}

// HasRumors reports whether events wait to be sent.
func (t *Table) HasRumors() bool { return t.rumors.Len() > 0 }

// TakeRumors returns events to send to the peer now, and counts them as sent.
func (t *Table) TakeRumors(peer string) []control.Event {
	var events []control.Event
	for _, id := range t.rumors.Take(peer, maxPerExchange) {
		if element, ok := t.byID[id]; ok {
			events = append(events, element.Value.(entry).Event)
		}
	}
	return events
}

func (t *Table) expire(now time.Time) {
	for oldest := t.order.Front(); oldest != nil; oldest = t.order.Front() {
		e := oldest.Value.(entry)
		if t.order.Len() <= maxEvents && now.Sub(e.receivedAt) < retention {
			return
		}
		t.order.Remove(oldest)
		delete(t.byID, e.ID)
		t.rumors.Drop(e.ID)
	}
}

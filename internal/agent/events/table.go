// Package events spreads events that gateways saw on the data path to all hosts,
// each once.
package events

import (
	"container/list"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
)

const (
	// keep is how long an event is remembered for the suppression of duplicates.
	// Rumors end within seconds.
	keep = 5 * time.Minute
	// maxItems bounds the memory, about 200 bytes each.
	maxItems = 4096
	// maxPerExchange bounds the events of one message.
	maxPerExchange = 64
	// maxBeside bounds the fingerprints beside a crash that an event carries.
	maxBeside = 256
)

// Board holds recent events. It is not safe for concurrent use.
type Table struct {
	items  map[string]*list.Element // by event id
	order  *list.List               // of item, oldest first
	rumors *gossip.Rumors
}

type item struct {
	control.Event
	received time.Time
}

// NewBoard returns an empty board.
func NewTable() *Table {
	return &Table{items: make(map[string]*list.Element), order: list.New(), rumors: gossip.NewRumors()}
}

// Add takes events from a peer or, with an empty from, from a gateway, and
// returns those that are new.
func (b *Table) Add(now time.Time, from string, events []control.Event, members int) []control.Event {
	var fresh []control.Event
	for _, e := range events {
		if e.ID == "" || e.Kind == "" {
			continue
		}
		if _, seen := b.items[e.ID]; seen {
			b.rumors.MarkKnown(e.ID, from)
			continue
		}
		e.Beside = e.Beside[:min(len(e.Beside), maxBeside)]
		b.items[e.ID] = b.order.PushBack(item{Event: e, received: now})
		b.rumors.Start(e.ID, gossip.MaxSends(members), from)
		fresh = append(fresh, e)
	}
	b.expire(now)
	return fresh
}

// Tick lets a period pass.
func (b *Table) Tick(now time.Time) {
	b.rumors.Tick()
	b.expire(now)
}

// HasRumors tells whether events wait to be sent.
func (b *Table) HasRumors() bool { return b.rumors.Len() > 0 }

// TakeRumors returns events to send to the peer now.
func (b *Table) TakeRumors(peer string) []control.Event {
	var events []control.Event
	for _, id := range b.rumors.Take(peer, maxPerExchange) {
		if element, ok := b.items[id]; ok {
			events = append(events, element.Value.(item).Event)
		}
	}
	return events
}

func (b *Table) expire(now time.Time) {
	for oldest := b.order.Front(); oldest != nil; oldest = b.order.Front() {
		it := oldest.Value.(item)
		if b.order.Len() <= maxItems && now.Sub(it.received) < keep {
			return
		}
		b.order.Remove(oldest)
		delete(b.items, it.ID)
		b.rumors.Drop(it.ID)
	}
}

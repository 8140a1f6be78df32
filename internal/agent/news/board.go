// Package news spreads events that gateways saw on the data path to all hosts,
// each once.
package news

import (
	"container/list"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/spread"
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
type Board struct {
	items  map[string]*list.Element // by event id
	order  *list.List               // of item, oldest first
	rumors *spread.Rumors
}

type item struct {
	control.News
	received time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{items: make(map[string]*list.Element), order: list.New(), rumors: spread.NewRumors()}
}

// Add takes events from a peer or, with an empty from, from a gateway, and
// returns those that are new.
func (b *Board) Add(now time.Time, from string, events []control.News, members int) []control.News {
	var fresh []control.News
	for _, e := range events {
		if e.ID == "" || e.Kind == "" {
			continue
		}
		if _, seen := b.items[e.ID]; seen {
			b.rumors.Known(e.ID, from)
			continue
		}
		e.Beside = e.Beside[:min(len(e.Beside), maxBeside)]
		b.items[e.ID] = b.order.PushBack(item{News: e, received: now})
		b.rumors.Start(e.ID, spread.Sends(members), from)
		fresh = append(fresh, e)
	}
	b.expire(now)
	return fresh
}

// Tick lets a period pass.
func (b *Board) Tick(now time.Time) {
	b.rumors.Age()
	b.expire(now)
}

// HasRumors tells whether events wait to be sent.
func (b *Board) HasRumors() bool { return b.rumors.Len() > 0 }

// TakeRumors returns events to send to the peer now.
func (b *Board) TakeRumors(peer string) []control.News {
	var events []control.News
	for _, id := range b.rumors.Take(peer, maxPerExchange) {
		if element, ok := b.items[id]; ok {
			events = append(events, element.Value.(item).News)
		}
	}
	return events
}

func (b *Board) expire(now time.Time) {
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

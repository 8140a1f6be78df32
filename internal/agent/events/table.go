// Package events spreads events that gateways observed on the data path to all hosts
// and suppresses duplicates.
//
// All events spread as rumors. Those about suspects of crashes are also kept for as long
// as a crash counts, and agents repair them from each other, so that an agent that
// starts later learns of earlier crashes.
package events

import (
	"container/list"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
	"corianderhitch/internal/scheduling/suspicion"
)

const (
	// retention is how long an event about a target is kept for the suppression of
	// duplicates. It far exceeds the time for which an event is sent, which is seconds.
	retention = 5 * time.Minute
	// maxEvents bounds the events about targets, at about 200 bytes an event.
	maxEvents = 4096
	// suspectRetention is the same for events about suspects. It exceeds the time for
	// which they are repaired, since hosts differ by seconds in the age of an event.
	suspectRetention = suspicion.Retention + time.Minute
	// maxSuspectEvents bounds the events about suspects, of 200 bytes to 2.5 KB each. A
	// crash takes about three events for each request that ran on the target.
	maxSuspectEvents = 4096
	// maxPerExchange bounds the events of one message.
	maxPerExchange = 64
	// maxSuspects bounds the fingerprints in the Beside field of a crash event.
	maxSuspects = 256
	// maxPrefixes bounds the hashes in the Prefixes field of an event.
	maxPrefixes = 16
	// maxRepairSuspects bounds the fingerprints and hashes in the events of one repair, of up to 9
	// bytes each, except that a repair holds at least one event.
	maxRepairSuspects = 2048
	// historyAge is the age from which an event about a suspect is no longer news: it
	// came from the repair, and says nothing about the present state of its target.
	historyAge = 15 * time.Second
)

// Table holds recent events. It is not safe for concurrent use.
type Table struct {
	byID      map[string]*list.Element // by event id
	targets   *list.List               // of *entry about targets, oldest first
	suspects  *list.List               // of *entry about suspects, oldest first
	checksums gossip.Checksums         // of the events about suspects that are repaired
	rumors    *gossip.Rumors
	pacer     pacer
	now       time.Time // of the last Add or Tick
}

type entry struct {
	control.Event
	since    time.Time // when it was received, or before that by its age
	hash     uint64    // of the id, for the repair
	repaired bool      // whether checksums includes it
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byID: make(map[string]*list.Element), targets: list.New(), suspects: list.New(),
		rumors: gossip.NewRumors(), pacer: pacer{left: maxRepairsPerPeriod},
	}
}

// IsHistory reports whether an event came from the repair of earlier events, so that it
// says nothing about the present state of its target.
func IsHistory(e control.Event) bool { return concernsSuspect(e) && e.Age >= historyAge }

// concernsSuspect reports whether an event matters for as long as a crash counts. That
// includes the crash of a leaving target, which hosts turn into EventDown.
func concernsSuspect(e control.Event) bool {
	switch e.Kind {
	case control.EventCrash, control.EventCleared, control.EventSurvived, control.EventReleased, control.EventHeld:
		return true
	default:
		return e.Kind == control.EventDown && e.Fingerprint != 0
	}
}

// Add adds events received from a peer or, if from is empty, from a gateway, and returns
// those that are new. Events without an id or kind are ignored. The count of members
// determines how often each new event is sent.
func (t *Table) Add(now time.Time, from string, events []control.Event, memberCount int) []control.Event {
	t.now = now
	var added []control.Event
	for _, e := range events {
		if !concernsSuspect(e) {
			e.Age = 0
		}
		if e.ID == "" || e.Kind == "" || (concernsSuspect(e) && e.Age >= suspicion.Retention) {
			continue
		}
		if _, seen := t.byID[e.ID]; seen {
			t.rumors.MarkKnown(e.ID, from)
			continue
		}
		e.Beside = e.Beside[:min(len(e.Beside), maxSuspects)]
		e.Prefixes = e.Prefixes[:min(len(e.Prefixes), maxPrefixes)]
		if !t.insert(e) {
			continue
		}
		if IsHistory(e) {
			t.pacer.found = true
		} else {
			t.rumors.Start(e.ID, gossip.MaxSends(memberCount), from)
		}
		added = append(added, e)
	}
	t.expire()
	return added
}

// insert adds an event in the order of age and reports whether there was room for it.
func (t *Table) insert(e control.Event) bool {
	added := &entry{Event: e, since: t.now.Add(-e.Age)}
	if !concernsSuspect(e) {
		t.byID[e.ID] = t.targets.PushBack(added)
		return true
	}
	older := t.suspects.Back()
	for older != nil && older.Value.(*entry).since.After(added.since) {
		older = older.Prev()
	}
	if older == nil {
		if t.suspects.Len() >= maxSuspectEvents {
			return false
		}
		t.byID[e.ID] = t.suspects.PushFront(added)
	} else {
		t.byID[e.ID] = t.suspects.InsertAfter(added, older)
	}
	added.hash, added.repaired = gossip.Hash(e.ID, ""), true
	t.checksums.Add(e.ID, added.hash)
	return true
}

// Tick advances the rumors by one period and removes expired events.
func (t *Table) Tick(now time.Time) {
	t.now = now
	t.rumors.Tick()
	t.pacer.tick()
	t.expire()
}

// HasRumors reports whether events wait to be sent.
func (t *Table) HasRumors() bool { return t.rumors.Len() > 0 }

// TakeRumors returns events to send to the peer now, and counts them as sent.
func (t *Table) TakeRumors(peer string) []control.Event {
	var events []control.Event
	for _, id := range t.rumors.Take(peer, maxPerExchange) {
		if element, ok := t.byID[id]; ok {
			events = append(events, t.sent(element.Value.(*entry)))
		}
	}
	return events
}

// sent returns an event as it is sent now.
func (t *Table) sent(e *entry) control.Event {
	event := e.Event
	if concernsSuspect(event) {
		event.Age = max(0, t.now.Sub(e.since))
	}
	return event
}

func (t *Table) expire() {
	for oldest := t.targets.Front(); oldest != nil; oldest = t.targets.Front() {
		e := oldest.Value.(*entry)
		if t.targets.Len() <= maxEvents && t.now.Sub(e.since) < retention {
			break
		}
		t.remove(t.targets, oldest)
	}
	for element := t.suspects.Front(); element != nil; {
		e, next := element.Value.(*entry), element.Next()
		age, full := t.now.Sub(e.since), t.suspects.Len() > maxSuspectEvents
		if age < suspicion.Retention && !full {
			return
		}
		if e.repaired {
			e.repaired = false
			t.checksums.Add(e.ID, e.hash) // the second addition removes it
		}
		if age >= suspectRetention || full {
			t.remove(t.suspects, element)
		}
		element = next
	}
}

func (t *Table) remove(from *list.List, element *list.Element) {
	id := element.Value.(*entry).ID
	from.Remove(element)
	delete(t.byID, id)
	t.rumors.Drop(id)
}

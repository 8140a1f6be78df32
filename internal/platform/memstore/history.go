package memstore

import (
	"sort"
	"strings"

	"corianderhitch/internal/platform"
)

// history holds the latest events, oldest first, up to a number of events and
// bytes.
type history struct {
	maxEvents int
	maxBytes  int
	events    []platform.Event
	bytes     int
	compacted Revision // revision of the latest dropped event
}

func (h *history) add(e platform.Event) {
	h.events = append(h.events, e)
	h.bytes += eventSize(e)
	drop := 0
	for len(h.events)-drop > h.maxEvents || (h.bytes > h.maxBytes && len(h.events)-drop > 1) {
		h.bytes -= eventSize(h.events[drop])
		h.compacted = h.events[drop].Entry.Revision
		h.events[drop] = platform.Event{}
		drop++
	}
	h.events = h.events[drop:]
}

// after returns the events after a revision whose keys have the prefix. ok is false
// if some of them may have been dropped.
func (h *history) after(revision Revision, prefix string) (events []platform.Event, ok bool) {
	if revision < h.compacted {
		return nil, false
	}
	first := sort.Search(len(h.events), func(i int) bool { return h.events[i].Entry.Revision > revision })
	for _, e := range h.events[first:] {
		if strings.HasPrefix(e.Entry.Key, prefix) {
			e.Entry = cloneEntry(e.Entry)
			events = append(events, e)
		}
	}
	return events, true
}

func eventSize(e platform.Event) int { return len(e.Entry.Key) + len(e.Entry.Value) }

package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

// extraSends is added to the binary logarithm of the number of members. With three
// extra sends a rumor misses well under 1% of the members; checksums repair those.
const extraSends = 3

// Rumors holds the changed rows of a table that still have to be sent, with the
// remaining number of sends and the peers that already have the change. A new change
// of the same row replaces its rumor.
type Rumors struct {
	rows map[string]*rumor // by key of the row
}

// maxRumorAge is the number of periods after which a rumor ends even if sends remain,
// because all partners already have the change. Checksums repair members that missed
// it.
const maxRumorAge = 15

type rumor struct {
	sendsLeft int
	age       int                 // periods since the change
	knownBy   map[string]struct{} // hosts that sent the change or were sent it
}

// NewRumors returns a Rumors without pending changes.
func NewRumors() *Rumors { return &Rumors{rows: make(map[string]*rumor)} }

// MaxSends returns how often each member sends one change in a fleet of the given size.
func MaxSends(members int) int { return extraSends + bits.Len(uint(max(members, 1))) }

// Start marks a row as changed. Take returns it at most sends times. From is the peer
// that the change came from, or empty.
func (r *Rumors) Start(key string, sends int, from string) {
	started := &rumor{sendsLeft: sends, knownBy: make(map[string]struct{}, 1)}
	if from != "" {
		started.knownBy[from] = struct{}{}
	}
	r.rows[key] = started
}

// MarkKnown records that the peer already has the current row.
func (r *Rumors) MarkKnown(key, peer string) {
	if row := r.rows[key]; row != nil {
		row.knownBy[peer] = struct{}{}
	}
}

// Len returns the number of rows with a pending change.
func (r *Rumors) Len() int { return len(r.rows) }

// Tick ends rumors older than maxRumorAge. Call it once per period.
func (r *Rumors) Tick() {
	for key, row := range r.rows {
		row.age++
		if row.age > maxRumorAge {
			delete(r.rows, key)
		}
	}
}

// Drop removes the pending change of a row.
func (r *Rumors) Drop(key string) { delete(r.rows, key) }

// Take returns up to limit keys of rows to send to the peer now, those with the most
// sends remaining first, and counts them as sent.
func (r *Rumors) Take(peer string, limit int) []string {
	type candidate struct {
		key       string
		sendsLeft int
	}
	var candidates []candidate
	for key, row := range r.rows {
		if _, known := row.knownBy[peer]; !known {
			candidates = append(candidates, candidate{key: key, sendsLeft: row.sendsLeft})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.key, b.key))
	})
	keys := make([]string, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		keys = append(keys, c.key)
		r.recordSend(c.key, peer)
	}
	return keys
}

func (r *Rumors) recordSend(key, peer string) {
	row := r.rows[key]
	row.knownBy[peer] = struct{}{}
	row.sendsLeft--
	if row.sendsLeft <= 0 {
		delete(r.rows, key)
	}
}

package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

// extraSends is added to the binary logarithm of the number of members. With
// three more, the share of members that a rumor misses is well under one in a
// hundred; digests find those.
const extraSends = 3

// Rumors counts how often each changed row may still be sent, and remembers
// which peers know it already. A new change of the same row starts anew.
type Rumors struct {
	rows map[string]*rumor // by key of the row
}

// maxAge is the number of periods after which a rumor ends though it was not
// sent often enough, because all partners know it. Digests find who missed it.
const maxAge = 15

type rumor struct {
	left  int
	age   int                 // periods since the change
	known map[string]struct{} // hosts that sent it or were sent it
}

// NewRumors returns an empty Rumors.
func NewRumors() *Rumors { return &Rumors{rows: make(map[string]*rumor)} }

// Sends returns how often a member of a fleet passes on one change.
func MaxSends(members int) int { return extraSends + bits.Len(uint(max(members, 1))) }

// Start marks a row as changed; it will be taken at most sends times. From is
// the peer that the change came from, or empty.
func (r *Rumors) Start(key string, sends int, from string) {
	fresh := &rumor{left: sends, known: make(map[string]struct{}, 1)}
	if from != "" {
		fresh.known[from] = struct{}{}
	}
	r.rows[key] = fresh
}

// Known records that the peer holds the current row.
func (r *Rumors) MarkKnown(key, peer string) {
	if row := r.rows[key]; row != nil {
		row.known[peer] = struct{}{}
	}
}

// Len returns the number of rows that may still be sent.
func (r *Rumors) Len() int { return len(r.rows) }

// Age lets a period pass.
func (r *Rumors) Tick() {
	for key, row := range r.rows {
		row.age++
		if row.age > maxAge {
			delete(r.rows, key)
		}
	}
}

// Drop ends the rumor of a row.
func (r *Rumors) Drop(key string) { delete(r.rows, key) }

// Take returns up to limit keys to send to the peer now, the freshest first.
func (r *Rumors) Take(peer string, limit int) []string {
	type candidate struct {
		key  string
		left int
	}
	var candidates []candidate
	for key, row := range r.rows {
		if _, known := row.known[peer]; !known {
			candidates = append(candidates, candidate{key: key, left: row.left})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.key, b.key))
	})
	keys := make([]string, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		keys = append(keys, c.key)
		r.sent(c.key, peer)
	}
	return keys
}

func (r *Rumors) sent(key, peer string) {
	row := r.rows[key]
	row.known[peer] = struct{}{}
	row.left--
	if row.left <= 0 {
		delete(r.rows, key)
	}
}

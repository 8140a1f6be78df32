package events

import (
	"slices"

	"corianderhitch/api/control"
	"corianderhitch/internal/agent/gossip"
)

// An agent whose checksums differ from a peer's sends the hashes of its events in the
// differing buckets, and the peer replies with the oldest events that are missing. Oldest
// first, so that a crash arrives before the completion that clears its suspects.

// Checksums returns the checksums of the events that are repaired. They are shared and
// must not be changed.
func (t *Table) Checksums() *gossip.Checksums { return &t.checksums }

// TakeRepair reports whether a repair may start now, and counts it.
func (t *Table) TakeRepair() bool { return t.pacer.take() }

// Hashes returns the hashes of the events about suspects in the marked buckets.
func (t *Table) Hashes(marked [gossip.BucketCount]bool) []uint64 {
	var hashes []uint64
	for element := t.suspects.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); marked[gossip.Bucket(e.ID)] {
			hashes = append(hashes, e.hash)
		}
	}
	return hashes
}

// Missing returns the oldest events in the marked buckets that a peer with the given
// hashes lacks, as many as fit into a message, and whether it lacks more.
func (t *Table) Missing(marked [gossip.BucketCount]bool, hashes []uint64) (missing []control.Event, more bool) {
	known := slices.Clone(hashes)
	slices.Sort(known)
	suspects := 0
	for element := t.suspects.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if !e.repaired || !marked[gossip.Bucket(e.ID)] {
			continue
		}
		if _, has := slices.BinarySearch(known, e.hash); has {
			continue
		}
		suspects += len(e.Beside) + len(e.Prefixes)
		if len(missing) == maxPerExchange || (len(missing) > 0 && suspects > maxRepairSuspects) {
			return missing, true
		}
		missing = append(missing, t.sent(e))
	}
	return missing, false
}

const (
	// maxRepairsPerPeriod bounds the repairs that an agent requests in a period of
	// gossip.
	maxRepairsPerPeriod = 4
	// maxRepairPause is the longest pause, in periods, after repairs that found nothing.
	maxRepairPause = 15
)

// pacer bounds repairs. Checksums differ without anything to repair while rumors spread,
// and for long if more events happen than agents keep; repairs then become rare.
type pacer struct {
	left    int // repairs that may start in this period
	pause   int // periods until the next repair
	backoff int // last pause
	used    bool
	found   bool // whether a repair of this period found earlier events
}

func (p *pacer) take() bool {
	if p.pause > 0 || p.left == 0 {
		return false
	}
	p.left--
	p.used = true
	return true
}

// tick starts a period.
func (p *pacer) tick() {
	switch {
	case p.pause > 0:
		p.pause--
	case p.used && !p.found:
		p.backoff = min(2*p.backoff+1, maxRepairPause)
		p.pause = p.backoff
	default:
		p.backoff = 0
	}
	p.left, p.used, p.found = maxRepairsPerPeriod, false, false
}

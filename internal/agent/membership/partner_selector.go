package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/api/control"
)

const (
	// ringPartners is the number of successors on the hash ring that a member
	// always exchanges with, so that every member is watched by two others.
	ringPartners = 2
	// randomPartners is the number of partners chosen at random.
	randomPartners = 3
	// rotateAfter is how long the random partners stay. Few and long-lived
	// connections keep memory small at hundreds of members.
	rotateAfter = 30 * time.Second
	// retryDeadShare is the share of periods in which a member believed dead is
	// tried, so that two halves of a cut fleet find each other again.
	retryDeadShare = 0.1
	// suspectProbers is the expected number of members that probe a suspect in
	// one period, so that it can refute.
	suspectProbers = 3.0
)

// Partners chooses whom a member exchanges with.
type PartnerSelector struct {
	random  *rand.Rand
	chosen  []string // hosts of the random partners
	rotated time.Time
	next    int
	ring    []control.Member // successors as of ringAt
	ringAt  int64            // version of the table
}

// NewPartners returns a chooser whose choices follow from the seed.
func NewPartnerSelector(seed uint64) *PartnerSelector {
	return &PartnerSelector{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// All returns the current partners, the ring successors first. They change when
// members come and go and when the random ones rotate.
func (p *PartnerSelector) Partners(now time.Time, t *Table) []control.Member {
	live := others(t)
	if p.ringAt != t.Version() {
		p.ring, p.ringAt = successors(t.Self().Host, live), t.Version()
	}
	ring := p.ring[:len(p.ring):len(p.ring)]
	if p.stale(now, live) {
		p.choose(now, t.Self(), live, ring)
	}
	partners := ring
	for _, host := range p.chosen {
		if m, ok := t.Get(host); ok && IsLive(m.State) && !hasHost(partners, host) {
			partners = append(partners, m)
		}
	}
	return partners
}

// Due returns the partners for this period: count of them in turn, at times a
// suspect, and at times a member believed dead.
func (p *PartnerSelector) DuePeers(now time.Time, t *Table, count int) []control.Member {
	all := p.Partners(now, t)
	var due []control.Member
	for range min(count, len(all)) {
		due = append(due, all[p.next%len(all)])
		p.next++
	}
	if m, ok := p.suspect(t); ok && !hasHost(due, m.Host) {
		due = append(due, m)
	}
	if p.random.Float64() < retryDeadShare {
		if m, ok := p.pick(filter(t.Members(), func(m control.Member) bool { return m.State == control.MemberDead })); ok {
			due = append(due, m)
		}
	}
	return due
}

func (p *PartnerSelector) suspect(t *Table) (control.Member, bool) {
	suspects := filter(others(t), func(m control.Member) bool { return m.State == control.MemberSuspect })
	if p.random.Float64()*float64(len(t.rows)+1) > suspectProbers {
		return control.Member{}, false
	}
	return p.pick(suspects)
}

func (p *PartnerSelector) stale(now time.Time, live []control.Member) bool {
	if p.rotated.IsZero() || now.Sub(p.rotated) >= rotateAfter {
		return true
	}
	known := 0
	for _, host := range p.chosen {
		if hasHost(live, host) {
			known++
		}
	}
	return known < min(randomPartners, len(live)-ringPartners)
}

// choose draws the random partners: one of another domain of the region, one of
// another region, the rest of anywhere.
func (p *PartnerSelector) choose(now time.Time, self control.Member, live, ring []control.Member) {
	p.rotated = now
	p.chosen = p.chosen[:0]
	free := filter(live, func(m control.Member) bool { return !hasHost(ring, m.Host) })
	classes := [randomPartners]func(control.Member) bool{
		func(m control.Member) bool { return m.Region == self.Region && m.Domain != self.Domain },
		func(m control.Member) bool { return m.Region != self.Region },
		func(control.Member) bool { return true },
	}
	for _, class := range classes {
		m, ok := p.pick(filter(free, class))
		if !ok {
			m, ok = p.pick(free)
		}
		if !ok {
			return
		}
		p.chosen = append(p.chosen, m.Host)
		free = filter(free, func(f control.Member) bool { return f.Host != m.Host })
	}
}

func (p *PartnerSelector) pick(members []control.Member) (control.Member, bool) {
	if len(members) == 0 {
		return control.Member{}, false
	}
	return members[p.random.IntN(len(members))], true
}

// successors returns the live members that follow host on the hash ring.
func successors(host string, live []control.Member) []control.Member {
	own := xxhash.Sum64String(host)
	ring := append([]control.Member(nil), live...)
	sort.Slice(ring, func(i, j int) bool {
		return xxhash.Sum64String(ring[i].Host)-own < xxhash.Sum64String(ring[j].Host)-own
	})
	return ring[:min(ringPartners, len(ring))]
}

func others(t *Table) []control.Member {
	self := t.Self().Host
	return filter(t.Live(), func(m control.Member) bool { return m.Host != self })
}

func filter(members []control.Member, keep func(control.Member) bool) []control.Member {
	var kept []control.Member
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}

func hasHost(members []control.Member, host string) bool {
	for _, m := range members {
		if m.Host == host {
			return true
		}
	}
	return false
}

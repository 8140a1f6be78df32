package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/api/control"
)

const (
	// ringPartners is the number of successors on the hash ring that a member always
	// exchanges with, so that two others monitor every member.
	ringPartners = 2
	// randomPartners is the number of further partners, chosen at random.
	randomPartners = 3
	// rotationInterval is how long the random partners are kept. Few, long-lived
	// connections limit memory in fleets of hundreds of members.
	rotationInterval = 30 * time.Second
	// deadProbeProbability is the probability of probing a dead member in a period, so
	// that the two sides of a network partition find each other when it ends.
	deadProbeProbability = 0.1
	// expectedSuspectProbers is the expected number of members that probe a suspect
	// in one period, so that it can refute the suspicion.
	expectedSuspectProbers = 3.0
)

// PartnerSelector chooses the peers that a member exchanges messages with.
type PartnerSelector struct {
	random            *rand.Rand
	randomHosts       []string // hosts of the random partners
	rotatedAt         time.Time
	nextIndex         int
	successors        []control.Member // ring successors as of successorsVersion
	successorsVersion int64            // version of the table that successors belong to
}

// NewPartnerSelector returns a selector whose random choices are determined by seed.
func NewPartnerSelector(seed uint64) *PartnerSelector {
	return &PartnerSelector{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Partners returns the current partners, ring successors first. They change when
// members join or leave and when the random partners rotate.
func (p *PartnerSelector) Partners(now time.Time, t *Table) []control.Member {
	live := otherLiveMembers(t)
	if p.successorsVersion != t.Version() {
		p.successors, p.successorsVersion = ringSuccessors(t.Self().Host, live), t.Version()
	}
	ring := p.successors[:len(p.successors):len(p.successors)]
	if p.needsRotation(now, live) {
		p.rotate(now, t.Self(), live, ring)
	}
	partners := ring
	for _, host := range p.randomHosts {
		if m, ok := t.Get(host); ok && IsLive(m.State) && !containsHost(partners, host) {
			partners = append(partners, m)
		}
	}
	return partners
}

// DuePeers returns the peers to exchange with in this period: count partners in
// round-robin order, and sometimes a suspect and a dead member to probe.
func (p *PartnerSelector) DuePeers(now time.Time, t *Table, count int) []control.Member {
	all := p.Partners(now, t)
	var due []control.Member
	for range min(count, len(all)) {
		due = append(due, all[p.nextIndex%len(all)])
		p.nextIndex++
	}
	if m, ok := p.pickSuspect(t); ok && !containsHost(due, m.Host) {
		due = append(due, m)
	}
	if p.random.Float64() < deadProbeProbability {
		if m, ok := p.pickRandom(filter(t.Members(), func(m control.Member) bool { return m.State == control.MemberDead })); ok {
			due = append(due, m)
		}
	}
	return due
}

// pickSuspect returns a random suspect, with a probability such that about
// expectedSuspectProbers members probe one in a period.
func (p *PartnerSelector) pickSuspect(t *Table) (control.Member, bool) {
	suspects := filter(otherLiveMembers(t), func(m control.Member) bool { return m.State == control.MemberSuspect })
	if p.random.Float64()*float64(len(t.rows)+1) > expectedSuspectProbers {
		return control.Member{}, false
	}
	return p.pickRandom(suspects)
}

// needsRotation reports whether the random partners are due for rotation or too many
// of them are no longer live.
func (p *PartnerSelector) needsRotation(now time.Time, live []control.Member) bool {
	if p.rotatedAt.IsZero() || now.Sub(p.rotatedAt) >= rotationInterval {
		return true
	}
	liveCount := 0
	for _, host := range p.randomHosts {
		if containsHost(live, host) {
			liveCount++
		}
	}
	return liveCount < min(randomPartners, len(live)-ringPartners)
}

// rotate chooses new random partners: one in another failure domain of the same
// region, one in another region, and the rest anywhere.
func (p *PartnerSelector) rotate(now time.Time, self control.Member, live, ring []control.Member) {
	p.rotatedAt = now
	p.randomHosts = p.randomHosts[:0]
	candidates := filter(live, func(m control.Member) bool { return !containsHost(ring, m.Host) })
	classes := [randomPartners]func(control.Member) bool{
		func(m control.Member) bool { return m.Region == self.Region && m.Domain != self.Domain },
		func(m control.Member) bool { return m.Region != self.Region },
		func(control.Member) bool { return true },
	}
	for _, class := range classes {
		m, ok := p.pickRandom(filter(candidates, class))
		if !ok {
			m, ok = p.pickRandom(candidates)
		}
		if !ok {
			return
		}
		p.randomHosts = append(p.randomHosts, m.Host)
		candidates = filter(candidates, func(f control.Member) bool { return f.Host != m.Host })
	}
}

func (p *PartnerSelector) pickRandom(members []control.Member) (control.Member, bool) {
	if len(members) == 0 {
		return control.Member{}, false
	}
	return members[p.random.IntN(len(members))], true
}

// ringSuccessors returns the live members that follow host on the hash ring.
func ringSuccessors(host string, live []control.Member) []control.Member {
	own := xxhash.Sum64String(host)
	ring := append([]control.Member(nil), live...)
	sort.Slice(ring, func(i, j int) bool {
		return xxhash.Sum64String(ring[i].Host)-own < xxhash.Sum64String(ring[j].Host)-own
	})
	return ring[:min(ringPartners, len(ring))]
}

func otherLiveMembers(t *Table) []control.Member {
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

func containsHost(members []control.Member, host string) bool {
	for _, m := range members {
		if m.Host == host {
			return true
		}
	}
	return false
}

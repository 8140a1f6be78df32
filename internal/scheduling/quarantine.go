package scheduling

import "slices"

const (
	// quarantineDivisor bounds the targets set aside for suspects at a time to
	// this part of all.
	quarantineDivisor = 4
	// quarantineGain is how much sooner another target must be empty for a
	// quarantine to move there.
	quarantineGain = 0.5
)

// quarantine sets a target aside for a request that must run alone: the one
// whose sequences end soonest. It moves while it waits if another, such as one
// that has just restarted, will be empty much sooner.
func (p *Pool) quarantine(fingerprint uint64) {
	var own, best *targetState
	aside := 0
	for _, t := range p.order {
		switch {
		case t.quarantine == fingerprint:
			own = t
		case t.quarantine != 0:
			aside++
		case !t.Healthy || t.Leaving || t.Standby:
		case best == nil || t.longest() < best.longest():
			best = t
		}
	}
	if best == nil || aside >= p.mostQuarantined() {
		return
	}
	if own != nil && own.Healthy && best.longest() >= quarantineGain*own.longest() {
		return
	}
	if own != nil {
		own.quarantine = 0
	}
	best.quarantine = fingerprint
}

// mostQuarantined is the number of targets that may be set aside at a time.
func (p *Pool) mostQuarantined() int { return max(1, len(p.order)/quarantineDivisor) }

// longest returns the most output tokens that any resident is expected to need
// yet.
func (t *targetState) longest() float64 {
	most := 0.0
	for _, r := range t.residents {
		most = max(most, r.curve.MeanRemaining(int(r.produced()), r.request.MaxTokens))
	}
	return most
}

// hasQuarantine tells whether a target is set aside for the fingerprint.
func (p *Pool) hasQuarantine(fingerprint uint64) bool {
	return slices.ContainsFunc(p.order, func(t *targetState) bool { return t.quarantine == fingerprint })
}

// endQuarantine returns the target that was set aside for the fingerprint.
func (p *Pool) endQuarantine(fingerprint uint64) {
	for _, t := range p.order {
		if t.quarantine == fingerprint {
			t.quarantine = 0
		}
	}
}

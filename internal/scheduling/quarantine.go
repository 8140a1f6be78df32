package scheduling

import "slices"

const (
	// quarantineDivisor bounds the targets set aside for suspects at a time to
	// this part of all.
	quarantineDivisor = 4
	// quarantineGain is how much sooner another target must be empty for a
	// quarantine to move there.
	quarantineMoveFactor = 0.5
)

// quarantine sets a target aside for a request that must run alone: the one
// whose sequences end soonest. It moves while it waits if another, such as one
// that has just restarted, will be empty much sooner.
func (p *Pool) quarantine(fingerprint uint64) {
	var current, best *targetState
	others := 0
	for _, t := range p.byName {
		switch {
		case t.quarantinedFor == fingerprint:
			current = t
		case t.quarantinedFor != 0:
			others++
		case !t.Healthy || t.Leaving || t.Standby:
		case best == nil || t.longestRemaining() < best.longestRemaining():
			best = t
		}
	}
	if best == nil || others >= p.maxQuarantined() {
		return
	}
	if current != nil && current.Healthy && best.longestRemaining() >= quarantineMoveFactor*current.longestRemaining() {
		return
	}
	if current != nil {
		current.quarantinedFor = 0
	}
	best.quarantinedFor = fingerprint
}

// mostQuarantined is the number of targets that may be set aside at a time.
func (p *Pool) maxQuarantined() int { return max(1, len(p.byName)/quarantineDivisor) }

// longest returns the most output tokens that any resident is expected to need
// yet.
func (t *targetState) longestRemaining() float64 {
	longest := 0.0
	for _, r := range t.residents {
		longest = max(longest, r.curve.MeanRemaining(int(r.produced()), r.request.MaxTokens))
	}
	return longest
}

// hasQuarantine tells whether a target is set aside for the fingerprint.
func (p *Pool) hasQuarantine(fingerprint uint64) bool {
	return slices.ContainsFunc(p.byName, func(t *targetState) bool { return t.quarantinedFor == fingerprint })
}

// endQuarantine returns the target that was set aside for the fingerprint.
func (p *Pool) endQuarantine(fingerprint uint64) {
	for _, t := range p.byName {
		if t.quarantinedFor == fingerprint {
			t.quarantinedFor = 0
		}
	}
}

package scheduling

import "slices"

const (
	// quarantineDivisor bounds the quarantined targets: at most the number of targets
	// divided by it, but at least one.
	quarantineDivisor = 4
	// A quarantine moves to another target only if the longest remaining output
	// there is shorter than quarantineMoveFactor times that on the current target.
	quarantineMoveFactor = 0.5
)

// quarantine reserves a target for a request that must run alone: the one that is
// expected to be empty soonest. While the request waits, the quarantine moves to
// another target that will be empty much sooner, such as one that has just
// restarted.
func (p *Pool) quarantine(fingerprint uint64) {
	var current, best *targetState
	others := 0
	for _, t := range p.sortedTargets {
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

// maxQuarantined returns the number of targets that may be quarantined at a time.
func (p *Pool) maxQuarantined() int { return max(1, len(p.sortedTargets)/quarantineDivisor) }

// longestRemaining returns the largest number of output tokens that any resident
// is expected to still produce.
func (t *targetState) longestRemaining() float64 {
	longest := 0.0
	for _, r := range t.residents {
		longest = max(longest, r.curve.MeanRemaining(int(r.produced()), r.request.MaxTokens))
	}
	return longest
}

// hasQuarantine reports whether a target is quarantined for the fingerprint.
func (p *Pool) hasQuarantine(fingerprint uint64) bool {
	return slices.ContainsFunc(p.sortedTargets, func(t *targetState) bool { return t.quarantinedFor == fingerprint })
}

// endQuarantine frees the target that is quarantined for the fingerprint, if any.
func (p *Pool) endQuarantine(fingerprint uint64) {
	for _, t := range p.sortedTargets {
		if t.quarantinedFor == fingerprint {
			t.quarantinedFor = 0
		}
	}
}

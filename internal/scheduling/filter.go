package scheduling

import "corianderhitch/internal/scheduling/suspicion"

// usable reports whether the target may run the request at all, now or later,
// whatever its load.
func (p *Pool) usable(t *targetState, r *Request) bool {
	return t.Healthy && !t.Leaving && !t.Standby && !contains(r.ExcludedTargets, t.Name)
}

// anyUsable reports whether some target may run the request now or later. If the
// request excludes all available targets, it clears the exclusions: running the
// request again on one of them is better than rejecting it.
func (p *Pool) anyUsable(r *Request) bool {
	available := false
	for _, t := range p.sortedTargets {
		if p.usable(t, r) {
			return true
		}
		available = available || (t.Healthy && !t.Leaving && !t.Standby)
	}
	if available {
		r.ExcludedTargets = nil
	}
	return available
}

// allowedByVerdict reports whether the verdict on the request lets it run on the
// target. An isolated request needs the empty target that is quarantined for it;
// all others must stay off quarantined targets.
func (p *Pool) allowedByVerdict(t *targetState, r *Request, verdict suspicion.Verdict) bool {
	if verdict == suspicion.Isolate {
		return t.quarantinedFor == r.Fingerprint && len(t.residents) == 0
	}
	return t.quarantinedFor == 0
}

// coSuspects counts the target's residents that are suspects of the same crash as
// the request. Spreading suspects over the targets narrows them down at the next
// crash.
func (p *Pool) coSuspects(t *targetState, r *Request) float64 {
	n := 0.0
	for _, other := range t.residents {
		if p.suspects.ShareCrash(other.request.Fingerprint, r.Fingerprint) {
			n++
		}
	}
	return n
}

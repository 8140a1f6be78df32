package scheduling

import "corianderhitch/internal/scheduling/suspicion"

// usable is the Filter: it tells whether a target may take the request at all,
// now or later, whatever its load.
func (p *Pool) usable(t *targetState, r *Request) bool {
	return t.Healthy && !t.Leaving && !t.Standby && !contains(r.ExcludedTargets, t.Name)
}

// anyUsable tells whether some target may take the request now or later. If
// the request avoids all targets that are left, the list is forgotten, since
// running it again on one of them beats refusing it.
func (p *Pool) anyUsable(r *Request) bool {
	available := false
	for _, t := range p.byName {
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

// keepsApart tells whether the suspicion of the request lets it join the target.
func (p *Pool) allowedByVerdict(t *targetState, r *Request, verdict suspicion.Verdict) bool {
	if verdict == suspicion.Isolate {
		return t.quarantinedFor == r.Fingerprint && len(t.residents) == 0
	}
	return t.quarantinedFor == 0
}

// suspectsBeside counts the residents that were beside the same crash as the
// request. Spreading them over the targets narrows the suspects down at the
// next crash.
func (p *Pool) coSuspects(t *targetState, r *Request) float64 {
	n := 0.0
	for _, other := range t.residents {
		if p.suspects.ShareCrash(other.request.Fingerprint, r.Fingerprint) {
			n++
		}
	}
	return n
}

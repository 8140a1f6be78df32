// Package evacuation holds the failure domains that the operator has evacuated: their targets
// get no requests until the operator ends the evacuation.
package evacuation

import (
	"maps"
	"slices"

	"corianderhitch/internal/platform"
)

// State is an immutable set of evacuated domains.
type State struct {
	// Revision is that of the store as of which the set holds.
	Revision platform.Revision
	// Settling means that the set may hold domains that the store lacks: it was restored from a
	// copy, and the operator may not have written again what was lost.
	Settling bool
	// complete means that the set holds all domains that were evacuated before the restore too.
	complete bool
	domains  map[string]struct{}
}

// Change is a change of one domain.
type Change struct {
	Domain    string
	Evacuated bool
	Revision  platform.Revision
}

// Domains returns the evacuated domains, sorted.
func (s *State) Domains() []string {
	domains := slices.AppendSeq(make([]string, 0, len(s.domains)), maps.Keys(s.domains))
	slices.Sort(domains)
	return domains
}

// newState returns the state of a whole list.
func newState(domains []string, revision platform.Revision, settled bool) *State {
	s := &State{Revision: revision, Settling: !settled, complete: settled, domains: make(map[string]struct{}, len(domains))}
	for _, d := range domains {
		s.domains[d] = struct{}{}
	}
	return s
}

// supersedes reports whether s, a whole list, replaces current: it is newer, or it is as new and
// its set is certain, unlike that of current.
func (s *State) supersedes(current *State) bool {
	return current == nil || s.Revision > current.Revision ||
		s.Revision == current.Revision && current.Settling && !s.Settling
}

// after returns the state once the list s replaces current. What the list of an unsettled era
// lacks stays evacuated: the operator may not have written it again yet.
func (s *State) after(current *State) *State {
	if current == nil || !s.Settling {
		return s
	}
	next := *s
	next.complete = s.complete || current.complete
	next.domains = maps.Clone(s.domains)
	maps.Copy(next.domains, current.domains)
	return &next
}

// apply returns the state after the changes of a watch up to revision; s itself if it is as new.
// In an unsettled era nothing is removed.
func (s *State) apply(changes []Change, revision platform.Revision, settled bool) *State {
	if revision <= s.Revision {
		return s
	}
	next := *s
	next.domains = maps.Clone(s.domains)
	for _, c := range changes {
		switch {
		case c.Revision <= s.Revision: // contained in s
		case c.Evacuated:
			next.domains[c.Domain] = struct{}{}
		case settled:
			delete(next.domains, c.Domain)
		}
	}
	next.Revision, next.Settling = revision, s.Settling || !settled
	return &next
}

// endedSince returns the domains that an earlier state evacuates and s does not, sorted.
func (s *State) endedSince(before *State) []string {
	if before == nil {
		return nil
	}
	var ended []string
	for _, d := range before.Domains() {
		if _, evacuated := s.domains[d]; !evacuated {
			ended = append(ended, d)
		}
	}
	return ended
}

// same reports whether two states evacuate the same domains.
func (s *State) same(o *State) bool {
	return o != nil && s.complete == o.complete && maps.Equal(s.domains, o.domains)
}

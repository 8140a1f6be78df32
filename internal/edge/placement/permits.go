package placement

import (
	"maps"

	"corianderhitch/internal/edge/bootclock"
)

// Permits are those that the hub which places the runs of all hosts may grant for cold targets. All
// hosts' shares of what such a target bears are apart from them.
type Permits interface {
	// HasHubPermit reports whether this host may grant a permit for an incarnation.
	HasHubPermit(incarnation string, now bootclock.Instant) bool
	// TakeHubPermit grants one if there is one.
	TakeHubPermit(incarnation string, now bootclock.Instant) bool
}

// ChooseWithPermits calls choose with the incarnations that must not be chosen: those tried, but of those
// that only lack a permit, not the ones for which the hub has some. It grants the permit for such an
// incarnation that is chosen, or calls choose again if it was granted to another run meanwhile.
func ChooseWithPermits(permits Permits, lacking []string, tried map[string]bool, choose func(tried map[string]bool) Decision) (d Decision, permitted bool) {
	if len(lacking) == 0 {
		return choose(tried), false
	}
	tried, granting := maps.Clone(tried), make(map[string]bool)
	if tried == nil {
		tried = make(map[string]bool)
	}
	for _, key := range lacking {
		if granting[key] = permits.HasHubPermit(key, bootclock.Now()); granting[key] {
			delete(tried, key)
		} else {
			tried[key] = true
		}
	}
	for {
		d = choose(tried)
		if d.Target == "" || !granting[d.Target] {
			return d, false
		}
		if permits.TakeHubPermit(d.Target, bootclock.Now()) {
			return d, true
		}
		granting[d.Target], tried[d.Target] = false, true
	}
}

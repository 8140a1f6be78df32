package targets

// Serving returns the targets of a service that may get new requests. The slice
// is shared; callers must not change it.
func (v *View) Available(service string) []*Target {
	all := v.byService[service]
	for i, t := range all {
		if t.Leaving {
			return withoutLeaving(all, i)
		}
	}
	return all
}

// Get returns the target of an incarnation, also one that has left the list
// lately, or nil.
func (v *View) Get(key string) *Target { return v.byKey[key] }

// Len returns how many targets the platform's list holds.
func (v *View) Len() int {
	n := 0
	for _, ts := range v.byService {
		n += len(ts)
	}
	return n
}

func withoutLeaving(all []*Target, first int) []*Target {
	kept := append([]*Target(nil), all[:first]...)
	for _, t := range all[first:] {
		if !t.Leaving {
			kept = append(kept, t)
		}
	}
	return kept
}

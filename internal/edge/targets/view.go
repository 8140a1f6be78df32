package targets

// Available returns the targets of a service that accept new requests, sorted by key.
// The slice is shared; callers must not change it.
func (v *View) Available(service string) []*Target {
	all := v.byService[service]
	for i, t := range all {
		if t.Leaving {
			return withoutLeaving(all, i)
		}
	}
	return all
}

// Get returns the target of an incarnation, or nil. It also finds leaving targets that
// were recently removed from the list.
func (v *View) Get(key string) *Target { return v.byKey[key] }

// Len returns the number of targets in the platform's list.
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

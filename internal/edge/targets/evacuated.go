package targets

// Evacuated reports whether an incarnation is in an evacuated failure domain. While a domain is
// evacuated this also holds for incarnations that are not listed, whose domain is not known.
func (v *View) Evacuated(key string) bool {
	if !v.evacuated.Any() {
		return false
	}
	t := v.byKey[key]
	return t == nil || v.evacuated.Blocks(t.Domain)
}

// AllEvacuated reports whether a service has targets that don't leave, all of them in evacuated
// failure domains.
func (v *View) AllEvacuated(service string) bool {
	if !v.evacuated.Any() || len(v.Serving(service)) > 0 {
		return false
	}
	for _, t := range v.byService[service] {
		if !t.Leaving {
			return true
		}
	}
	return false
}

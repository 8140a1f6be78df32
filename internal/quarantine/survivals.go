package quarantine

// maxSurvivals bounds the keys whose last survival a host remembers.
const maxSurvivals = 4096

// survivals remembers the last survival of the keys that were used last.
type survivals struct {
	recent, older map[Key]Instant // at most maxSurvivals/2 each
}

// add records a survival unless a later one is known.
func (s *survivals) add(key Key, at Instant) {
	if known, ok := s.get(key); ok && known >= at {
		at = known
	}
	if len(s.recent) >= maxSurvivals/2 || s.recent == nil {
		s.older, s.recent = s.recent, make(map[Key]Instant)
	}
	s.recent[key] = at
}

func (s *survivals) get(key Key) (Instant, bool) {
	at, ok := s.recent[key]
	if !ok {
		at, ok = s.older[key]
	}
	return at, ok
}

func (s *survivals) len() int { return len(s.recent) + len(s.older) }

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashes and requestCrashes are how many incarnations must have crashed under a
	// key for it to be held back.
	partCrashes    = 4
	requestCrashes = 3
	// survivedExtra is how many more are needed if the key has survived lately: it is then
	// more likely that it shares its targets with the key at fault. Its crashes count only
	// after settleTime, since streams that began at the same time survive later.
	survivedExtra = 1
	settleTime    = 1500 * time.Millisecond
	// survivalMemory is how long a survival counts as recent.
	survivalMemory = 10 * time.Minute
	// partMoments is at how many different moments the crashes must have happened, so that a
	// failure domain that ends at once counts once. For a request that has not survived lately
	// one moment suffices, since it was on its targets by itself. A request needs requestMoments if
	// it has survived lately or some of its crashes are doubtful. momentLength is how long a
	// moment lasts.
	partMoments    = 3
	requestMoments = 2
	momentLength   = 250 * time.Millisecond
	// firstHoldTime is for how long after its last crash a key is held back at first. It is
	// short, since a key may be blamed wrongly until others have survived. After each crash on
	// probation, which comes at least probationGap after the one before, the key is held back
	// holdGrowth times as long, up to maxHoldTime.
	firstHoldTime = 15 * time.Second
	probationGap  = 10 * time.Second
	holdGrowth    = 10
	maxHoldTime   = 30 * time.Minute
	// evidenceLifetime is how long a crash counts. It is longer than maxHoldTime, so that one
	// crash on probation suffices to hold a key back again.
	evidenceLifetime = 2 * time.Hour
)

// Instant is a time on a steady clock, since any origin before the process started.
type Instant = time.Duration

// Crash is the crash of a target under a key.
type Crash struct {
	Incarnation string
	Host        string // that sent the request and saw the crash
	At          Instant
	// Doubtful means that the way to the target may have been at fault: many may fail so at one moment.
	Doubtful bool
}

// Hold is a key that is held back.
type Hold struct {
	Key        Key
	Until      Instant // from then on the key is on probation
	Crashes    []Crash // of different incarnations, in ascending order of time
	Survived   bool    // the key has survived lately, before the crashes
	SurvivedAt Instant // if Survived
}

// failure is a request that failed at a target before or just after its answer began.
type failure struct {
	Crash
	keys []Key // from the least to the most specific
	seq  uint64
}

// decide returns the keys to hold back. It blames one key after the other: of those with
// enough crashes first the ones that have not survived lately, then the one with most crashes,
// then the most specific. What crashed under a blamed key does not count against the others,
// which merely shared the prompt or the target.
// counts is the number of failures of each key. toldAt returns when another host told that it
// holds a key back. The result holds until the returned instant unless the evidence changes.
func decide(now Instant, failures []*failure, counts map[Key]int, survivedAt, toldAt func(Key) (Instant, bool)) (map[Key]*Hold, Instant) {
	suspects, until := collectSuspects(now, failures, counts, survivedAt, toldAt)
	held := make(map[Key]*Hold)
	explained := make(map[string]bool) // incarnations
	for {
		var worst *suspect
		for _, s := range suspects {
			s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return explained[c.Incarnation] })
			if held[s.key] == nil && s.isEnough() && (worst == nil || s.compare(worst) < 0) {
				worst = s
			}
		}
		if worst == nil {
			return held, until
		}
		held[worst.key] = worst.hold()
		for _, c := range worst.crashes {
			explained[c.Incarnation] = true
		}
	}
}

// suspect is a key with the crashes since its last survival.
type suspect struct {
	key        Key
	depth      int // position in prompts, counted from the first part
	crashes    []Crash
	survived   bool
	survivedAt Instant
	// confirmed states that another host counted enough moments: the delays of messages
	// shift the crashes against each other differently on each host.
	confirmed bool
}

// collectSuspects returns the keys with enough crashes since their last survival, and when
// the next crash counts or is forgotten.
func collectSuspects(now Instant, failures []*failure, counts map[Key]int, survivedAt, toldAt func(Key) (Instant, bool)) (map[Key]*suspect, Instant) {
	suspects := make(map[Key]*suspect)
	until := now + evidenceLifetime
	for _, f := range failures {
		until = min(until, f.At+evidenceLifetime+1)
		if at, ok := survivedAt(targetKey(f.Incarnation)); ok && at > f.At {
			continue // the target is alive, so that only the connection broke
		}
		for depth, key := range f.keys {
			if counts[key] < min(partCrashes, requestCrashes) {
				continue
			}
			s := suspects[key]
			if s == nil {
				s = &suspect{key: key}
				s.survivedAt, s.survived = survivedAt(key)
				told, confirmed := toldAt(key)
				s.confirmed = confirmed && (!s.survived || told > s.survivedAt)
				suspects[key] = s
			}
			s.depth = max(s.depth, depth)
			switch {
			case s.survived && s.survivedAt >= f.At:
			case s.survived && f.At+settleTime > now:
				until = min(until, f.At+settleTime)
			default:
				s.crashes = append(s.crashes, f.Crash)
			}
		}
	}
	for key, s := range suspects {
		s.crashes = firstOfEachIncarnation(s.crashes)
		if !s.isEnough() {
			delete(suspects, key)
		}
	}
	return suspects, until
}

func firstOfEachIncarnation(crashes []Crash) []Crash {
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	seen := make(map[string]bool, len(crashes))
	return slices.DeleteFunc(crashes, func(c Crash) bool {
		again := seen[c.Incarnation]
		seen[c.Incarnation] = true
		return again
	})
}

func (s *suspect) isEnough() bool {
	crashes, moments := s.required()
	if len(s.crashes) < crashes {
		return false
	}
	if moments == 1 && countCertain(s.crashes) < crashes {
		moments = requestMoments
	}
	return s.confirmed || countMoments(s.crashes) >= moments
}

func countCertain(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if !c.Doubtful {
			n++
		}
	}
	return n
}

func (s *suspect) required() (crashes, moments int) {
	crashes, moments = partCrashes, partMoments
	if s.key.Kind == KindRequest {
		crashes, moments = requestCrashes, 1
		if s.survived {
			moments = requestMoments
		}
	}
	if s.survived {
		crashes += survivedExtra
	}
	return crashes, moments
}

// countMoments returns at how many different moments the crashes happened.
func countMoments(crashes []Crash) int {
	moments := 0
	var began Instant
	for _, c := range crashes {
		if moments == 0 || c.At >= began+momentLength {
			moments++
			began = c.At
		}
	}
	return moments
}

// compare orders suspects by blame, the first to be held back first.
func (s *suspect) compare(o *suspect) int {
	if s.survived != o.survived {
		if s.survived {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(o.crashes), len(s.crashes)), cmp.Compare(o.depth, s.depth),
		cmp.Compare(s.key.Kind, o.key.Kind), cmp.Compare(s.key.ID, o.key.ID))
}

func (s *suspect) hold() *Hold {
	crashes := slices.Clone(s.crashes)
	length := firstHoldTime
	for i := range crashes[1:] {
		if crashes[i+1].At-crashes[i].At >= probationGap {
			length = min(length*holdGrowth, maxHoldTime)
		}
	}
	return &Hold{Key: s.key, Until: crashes[len(crashes)-1].At + length, Crashes: crashes, Survived: s.survived, SurvivedAt: s.survivedAt}
}

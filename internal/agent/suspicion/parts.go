package suspicion

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/quarantine"
	"corianderhitch/internal/scheduling/suspicion"
)

const (
	// crashWindow is the time within which reports of a target's crash count as one
	// crash. It covers the spread of events; a target takes longer to come back.
	crashWindow = 2 * time.Second
	// maxCrashedTargets bounds the crashes that are remembered to join reports.
	maxCrashedTargets = 256
	// maxSuspectPrefixes bounds the prefixes under which targets crashed.
	maxSuspectPrefixes = 1 << 14
)

// parts tracks under which beginnings of prompts targets crash. Its zero value is ready; it
// is not safe for concurrent use.
type parts struct {
	tracker  *quarantine.Tracker
	origin   time.Time
	crashes  []crashedTarget      // oldest first
	suspects map[uint64]time.Time // prefixes under which targets crashed, and when last
	holds    uint64               // number of holds until now
	newHolds []uint64             // prefixes held back by this host's own evidence, of which others have not been told
}

// crashedTarget is one crash.
type crashedTarget struct {
	target string
	at     time.Time
	id     string
}

// init prepares the zero value.
func (p *parts) init(now time.Time, host string, log *slog.Logger) {
	if p.tracker != nil {
		return
	}
	p.origin = now.Add(-2 * suspicion.Retention) // earlier crashes may arrive later
	p.suspects = make(map[uint64]time.Time)
	p.tracker = quarantine.New(host, func(c quarantine.Change) {
		if c.Kind == quarantine.Held {
			p.holds++
			if hash, err := strconv.ParseUint(c.Hold.Key.ID, 16, 64); err == nil && c.Own {
				p.newHolds = append(p.newHolds, hash)
			}
		}
		if log != nil {
			log.Warn("Quarantine of a prompt prefix changed.", "change", c.Kind.String(), "prefix", c.Hold.Key.ID,
				"crashes", len(c.Hold.Crashes), "until", p.origin.Add(c.Hold.Until))
		}
	})
}

func (p *parts) instant(at time.Time) quarantine.Instant { return at.Sub(p.origin) }

// recordCrash counts a crash that an event received now reports against the prefixes of its
// request, unless the request had begun to produce tokens.
func (p *parts) recordCrash(now time.Time, e control.Event) {
	if len(e.Prefixes) == 0 || e.Produced > 0 {
		return
	}
	at := now.Add(-e.Age)
	p.dropExpired(now)
	for _, hash := range e.Prefixes {
		if _, known := p.suspects[hash]; known || len(p.suspects) < maxSuspectPrefixes {
			p.suspects[hash] = at
		}
	}
	p.tracker.ReportFailure(p.instant(now), p.instant(at), p.incarnation(e.Target, at), keys(e.Prefixes))
}

// incarnation returns the name of the target's process that crashed at about that time.
func (p *parts) incarnation(target string, at time.Time) string {
	for _, c := range p.crashes {
		if c.target == target && at.Sub(c.at).Abs() < crashWindow {
			return c.id
		}
	}
	c := crashedTarget{target: target, at: at, id: target + incarnationSeparator + strconv.FormatInt(at.UnixMilli(), 36)}
	p.crashes = append(p.crashes, c)
	if len(p.crashes) > maxCrashedTargets {
		p.crashes = p.crashes[1:]
	}
	return c.id
}

func (p *parts) dropExpired(now time.Time) {
	if len(p.suspects) < maxSuspectPrefixes/2 {
		return
	}
	for hash, at := range p.suspects {
		if now.Sub(at) >= suspicion.Retention {
			delete(p.suspects, hash)
		}
	}
}

// recordSurvival records that an answer to a prompt with the prefixes began after the given
// time. It returns the prefixes if other hosts should hear of it, else nil.
func (p *parts) recordSurvival(now, began time.Time, hashes []uint64) []uint64 {
	suspects := p.suspected(hashes)
	if len(suspects) == 0 {
		return nil
	}
	at := p.instant(began)
	if !p.tracker.ReportSurvival(p.instant(now), at, at, "", keys(suspects)) {
		return nil
	}
	return suspects
}

// suspected returns the prefixes under which targets crashed.
func (p *parts) suspected(hashes []uint64) []uint64 {
	if len(p.suspects) == 0 {
		return nil
	}
	var found []uint64
	for _, hash := range hashes {
		if _, ok := p.suspects[hash]; ok {
			found = append(found, hash)
		}
	}
	return found
}

func keys(hashes []uint64) []quarantine.Key {
	list := make([]quarantine.Key, len(hashes))
	for i, hash := range hashes {
		list[i] = quarantine.Part(strconv.FormatUint(hash, 16))
	}
	return list
}

// recordHeld records that another host holds prefixes back.
func (p *parts) recordHeld(now time.Time, e control.Event) {
	at, untold := p.instant(now.Add(-e.Age)), len(p.newHolds)
	for _, key := range keys(e.Prefixes) {
		p.tracker.ReportHeld(p.instant(now), at, key)
	}
	p.newHolds = p.newHolds[:untold] // the fleet knows already
}

// release ends the holds of prefixes, and takes the crashes under them back.
func (p *parts) release(now time.Time, e control.Event) {
	for _, key := range keys(e.Prefixes) {
		p.tracker.Release(p.instant(now.Add(-e.Age)), key)
	}
}

// list returns the prefixes that are held back, in order.
func (p *parts) list(now time.Time) []control.HeldPrefix {
	if p.tracker == nil {
		return nil
	}
	var list []control.HeldPrefix
	for _, hold := range p.tracker.Holds() {
		held := control.HeldPrefix{Prefix: hold.Key.ID, For: max(0, hold.Until-p.instant(now))}
		for _, c := range hold.Crashes {
			target, _, _ := strings.Cut(c.Incarnation, incarnationSeparator)
			held.Targets = append(held.Targets, target)
		}
		list = append(list, held)
	}
	return list
}

// incarnationSeparator stands between a target's name and the time of its crash.
const incarnationSeparator = "\x00"

// HeldPrefix is a beginning of prompts that is held back.
type HeldPrefix struct {
	Prefix     string // hash in hexadecimal
	Crashes    int    // targets that crashed under it
	RetryAfter time.Duration
}

// held returns the prefix because of which a request is held back, nil if there is none. admits
// states that the request is sent unless it is held.
func (p *parts) held(now time.Time, hashes []uint64, admits bool) *HeldPrefix {
	suspects := p.suspected(hashes)
	if len(suspects) == 0 {
		return nil
	}
	check := p.tracker.Check
	if admits {
		check = p.tracker.Admit
	}
	hold := check(p.instant(now), keys(suspects))
	if hold == nil {
		return nil
	}
	return &HeldPrefix{Prefix: hold.Key.ID, Crashes: len(hold.Crashes), RetryAfter: p.tracker.RetryAfter(p.instant(now), hold)}
}

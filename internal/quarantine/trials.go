package quarantine

import "strconv"

// endTrials records that requests on probation had no result within trialTimeout: their targets
// answered with errors of their own, which clear nothing, or the callers left. Such a trial counts like a
// crash at a target of its own, also on other hosts, so that trials become as seldom as if each had
// ended a target. Parts of prompts are left out: many requests have them, and the next one tells. It
// reports whether there were any. Callers hold t.mu.
func (t *Tracker) endTrials(now Instant) bool {
	ended := false
	for key, trial := range t.trials {
		hold := t.held[key]
		if hold == nil || key.Kind != KindRequest || trial < hold.Until || now < trial+trialTimeout {
			continue
		}
		delete(t.trials, key)
		id := t.host + " trial " + strconv.FormatInt(int64(trial), 10)
		ended = t.addFailure(now, &failure{Crash: Crash{Incarnation: id, Host: t.host, At: trial}, keys: []Key{key}}) || ended
	}
	return ended
}

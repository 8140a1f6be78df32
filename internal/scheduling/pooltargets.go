package scheduling

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderhitch/internal/scheduling/suspicion"
)

const (
	// A running request counts as abandoned once its target could have produced
	// abandonedOutputFactor times its MaxTokens. The grace, in tokens, allows for
	// preemptions.
	abandonedOutputFactor = 2.0
	abandonedGraceTokens  = 2000.0
)

// SetTargets implements Policy.
func (p *Pool) SetTargets(now time.Time, targets []Target) {
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.Name] = true
		p.updateTarget(now, target)
	}
	for name, t := range p.targets {
		if !listed[name] && len(t.residents) == 0 {
			p.removeTarget(t)
		} else if !listed[name] {
			t.Leaving = true // removed once its last resident has ended
		}
	}
	p.sortTargets()
}

// updateTarget stores the reported state of a target, and adds the target if it is
// new.
func (p *Pool) updateTarget(now time.Time, target Target) {
	t, ok := p.targets[target.Name]
	if !ok {
		t = &targetState{slot: p.allocateSlot(), forecastStale: true}
		p.targets[target.Name] = t
	}
	t.advance(now, p.steps)
	newReport := target.ReportedAt.After(t.ReportedAt)
	t.Target = target
	t.setLimit(now, target.Limit)
	if newReport {
		t.applyReport()
		p.steps.Observe(target.Running, target.StepMS)
	}
	t.recordUsage(now)
	p.dropAbandoned(now, t)
}

// dropAbandoned ends requests whose end was never reported, for example because
// their gateway crashed. It recognizes them by the output that they would have
// produced by now.
func (p *Pool) dropAbandoned(now time.Time, t *targetState) {
	for _, r := range slices.Clone(t.residents) {
		if r.started && t.progress-r.startedAt > abandonedOutputFactor*float64(r.request.MaxTokens)+abandonedGraceTokens {
			p.Finish(now, Finished{Ticket: r.request.Ticket, Produced: r.request.Produced})
		}
	}
}

func (p *Pool) removeTarget(t *targetState) {
	p.cache.Forget(t.slot)
	p.slotUsed[t.slot] = false
	delete(p.targets, t.Name)
}

// allocateSlot returns the lowest free slot of the cache index.
func (p *Pool) allocateSlot() int {
	for i, used := range p.slotUsed {
		if !used {
			p.slotUsed[i] = true
			return i
		}
	}
	p.slotUsed = append(p.slotUsed, true)
	return len(p.slotUsed) - 1
}

func (p *Pool) sortTargets() {
	p.sortedTargets = p.sortedTargets[:0]
	for _, t := range p.targets {
		p.sortedTargets = append(p.sortedTargets, t)
	}
	slices.SortFunc(p.sortedTargets, func(a, b *targetState) int { return strings.Compare(a.Name, b.Name) })
}

// Crashed implements Policy. It ends the requests that ran on the target; their
// gateways submit them again. All of them become suspects of the crash, unless
// the target was leaving.
func (p *Pool) Crashed(now time.Time, target string) {
	t, ok := p.targets[target]
	if !ok {
		return
	}
	p.crashCount++
	crash := suspicion.Crash{ID: fmt.Sprintf("%s/%d", target, p.crashCount), Target: target, At: now}
	for _, r := range slices.Clone(t.residents) {
		if r.request.Fingerprint != 0 {
			crash.Suspects = append(crash.Suspects, r.request.Fingerprint)
		}
		p.release(r)
		p.lengths.Observe(lengthKey(&r.request), int(r.produced()), false)
		p.accounts.Ended(now, r.request.Account, 0)
	}
	if !t.Leaving { // the end of a leaving target is planned, not caused by a request
		p.suspects.RecordCrash(crash)
	}
	p.cache.Forget(t.slot)
	t.Healthy = false
	t.prefillUntil = now
	t.externalTokens, t.externalSequences = 0, 0
	t.history = nil
	t.forecastStale = true
}

// RecordRemoteCrash records a crash that another host has observed. It may be one
// that was passed to Crashed too.
func (p *Pool) RecordRemoteCrash(crash suspicion.Crash) {
	crash.Remote = true
	p.suspects.RecordCrash(crash)
}

// Verdict returns under which restrictions a request with the fingerprint may
// run.
func (p *Pool) Verdict(now time.Time, fingerprint uint64) suspicion.Verdict {
	return p.suspects.Verdict(fingerprint, now)
}

// RecordSurvival records that a request has run on past the point at which its
// target crashed.
func (p *Pool) RecordSurvival(fingerprint uint64, at time.Time) {
	p.suspects.RecordSurvival(fingerprint, at)
}

// RecordCompletion records that a request has run to its end, here or at another host.
func (p *Pool) RecordCompletion(fingerprint uint64, at time.Time) {
	p.suspects.RecordCompletion(fingerprint, at)
}

package scheduling

import (
	"fmt"
	"time"

	"corianderhitch/internal/prefix"
	"corianderhitch/internal/scheduling/length"
	"corianderhitch/internal/scheduling/memory"
	"corianderhitch/internal/scheduling/suspicion"
)

const (
	prefixBlockTokens = prefix.BlockTokens
	// coSuspectCost is the cost, in milliseconds, of running on the same target as
	// another suspect of the same crash. It outweighs any load.
	coSuspectCost = 1e7
)

// chooseTarget returns the usable target with the lowest cost that admits the
// request, or nil.
func (p *Pool) chooseTarget(now time.Time, c *candidate, verdict suspicion.Verdict) *targetState {
	p.scored = p.scored[:0]
	required := p.duplicates.requiredTarget(c.request.Fingerprint)
	for _, t := range p.sortedTargets {
		if required != nil && t != required {
			continue
		}
		if !p.usable(t, c.request) || !t.hasPermit(now, c.request) || !p.allowedByVerdict(t, c.request, verdict) {
			continue
		}
		cost := p.placementCost(now, t, c)
		if verdict == suspicion.Spread {
			cost += coSuspectCost * p.coSuspects(t, c.request)
		}
		p.scored = append(p.scored, scoredTarget{target: t, cost: cost})
	}
	for len(p.scored) > 0 {
		i := lowestCost(p.scored)
		t := p.scored[i].target
		if p.admits(now, t, *c) {
			return t
		}
		last := len(p.scored) - 1
		p.scored[i] = p.scored[last]
		p.scored = p.scored[:last]
	}
	return nil
}

// scoredTarget is a target with the cost of placing the request there.
type scoredTarget struct {
	target *targetState
	cost   float64
}

// lowestCost returns the index of the target with the lowest cost. Ties go to the
// target whose name sorts first.
func lowestCost(list []scoredTarget) int {
	best := 0
	for i := 1; i < len(list); i++ {
		a, b := list[i], list[best]
		if a.cost < b.cost || (a.cost == b.cost && a.target.Name < b.target.Name) {
			best = i
		}
	}
	return best
}

// newCandidate collects what the placement of a waiting request depends on. The
// result is valid until the next call.
func (p *Pool) newCandidate(w *waitingRequest) candidate {
	r := &w.request
	p.cache.Match(r.PrefixHashes, &p.prefixDepth)
	return candidate{
		request: r,
		sequence: memory.Sequence{
			Curve:     w.curve,
			Prompt:    float64(r.PromptTokens),
			Produced:  float64(r.Produced),
			MaxTokens: float64(r.MaxTokens),
		},
		expectedTokens: w.expectedTokens,
		cachedBlocks:   p.prefixDepth[:],
	}
}

// place grants the request on the target and updates the state of both.
func (p *Pool) place(now time.Time, t *targetState, c *candidate, curve *length.Curve) Grant {
	t.advance(now, p.steps)
	t.takePermit(now)
	prefillTime := time.Duration(c.prefillMS(t, p.config.PrefillMSPerToken) * float64(time.Millisecond))
	prefillStart := now
	if t.prefillUntil.After(now) {
		prefillStart = t.prefillUntil
	}
	t.prefillUntil = prefillStart.Add(prefillTime)
	t.addToPrefillBatch(now, c.uncached(t), p.steps.At(float64(len(t.residents)+1)))
	r := &resident{request: *c.request, target: t, curve: curve, expectedTokens: c.expectedTokens, startsAt: t.prefillUntil}
	t.refreshForecast(now)
	t.forecast.Add(c.sequence)
	t.forecast.AddConstant(float64(t.BlockTokens) / 2)
	t.residents = append(t.residents, r)
	p.duplicates.add(r.request.Fingerprint, t)
	p.running[r.request.Ticket] = r
	p.cache.Store(t.slot, c.request.PrefixHashes)
	p.accounts.Started(r.request.Account)
	reason := fmt.Sprintf("lowest cost of %d targets: %d running, %.0f of %.0f prompt tokens cached, expects %.0f tokens",
		len(p.sortedTargets), len(t.residents)-1, c.sequence.Prompt-c.uncached(t), c.sequence.Prompt, c.expectedTokens)
	return Grant{Ticket: r.request.Ticket, Target: t.Name, Reason: reason}
}

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
	// suspectCost is the harm, in milliseconds, of running beside another
	// request that was beside the same crash. It outweighs any load.
	suspectCost = 1e7
)

// pick is the Picker: the usable target with the least harm that admits the
// request, or nil.
func (p *Pool) pick(now time.Time, c *candidate, verdict suspicion.Verdict) *targetState {
	p.scratch = p.scratch[:0]
	home := p.copies.home(c.request.Fingerprint)
	for _, t := range p.order {
		if home != nil && t != home {
			continue
		}
		if !p.usable(t, c.request) || !p.keepsApart(t, c.request, verdict) {
			continue
		}
		harm := p.score(now, t, c)
		if verdict == suspicion.Spread {
			harm += suspectCost * p.suspectsBeside(t, c.request)
		}
		p.scratch = append(p.scratch, scored{target: t, harm: harm})
	}
	for len(p.scratch) > 0 {
		i := least(p.scratch)
		t := p.scratch[i].target
		if p.admits(now, t, *c) {
			return t
		}
		last := len(p.scratch) - 1
		p.scratch[i] = p.scratch[last]
		p.scratch = p.scratch[:last]
	}
	return nil
}

type scored struct {
	target *targetState
	harm   float64
}

// least returns the index of the least harm; the name of the target breaks ties.
func least(list []scored) int {
	best := 0
	for i := 1; i < len(list); i++ {
		a, b := list[i], list[best]
		if a.harm < b.harm || (a.harm == b.harm && a.target.Name < b.target.Name) {
			best = i
		}
	}
	return best
}

// consider prepares the decision on a request.
func (p *Pool) consider(w *waiting) candidate {
	r := &w.request
	p.cache.Match(r.PrefixHashes, &p.depth)
	return candidate{
		request: r,
		sequence: memory.Sequence{
			Curve:     w.curve,
			Prompt:    float64(r.PromptTokens),
			Produced:  float64(r.Produced),
			MaxTokens: float64(r.MaxTokens),
		},
		expected: w.expected,
		cached:   p.depth[:],
	}
}

// place grants the request to the target.
func (p *Pool) place(now time.Time, t *targetState, c *candidate, curve *length.Curve) Grant {
	t.advance(now, p.steps)
	prefill := time.Duration(c.prefillMS(t, p.config.PrefillMSPerToken) * float64(time.Millisecond))
	begins := now
	if t.prefillUntil.After(now) {
		begins = t.prefillUntil
	}
	t.prefillUntil = begins.Add(prefill)
	t.join(now, c.uncached(t), p.steps.At(float64(len(t.residents)+1)))
	r := &resident{request: *c.request, target: t, curve: curve, expected: c.expected, startsAt: t.prefillUntil}
	t.refresh(now)
	t.forecast.Add(c.sequence)
	t.forecast.AddConstant(float64(t.BlockTokens) / 2)
	t.residents = append(t.residents, r)
	p.copies.placed(r.request.Fingerprint, t)
	p.running[r.request.Ticket] = r
	p.cache.Store(t.slot, c.request.PrefixHashes)
	p.accounts.Started(r.request.Account)
	reason := fmt.Sprintf("least harm of %d targets: %d running, %.0f of %.0f prompt tokens cached, expects %.0f tokens",
		len(p.order), len(t.residents)-1, c.sequence.Prompt-c.uncached(t), c.sequence.Prompt, c.expected)
	return Grant{Ticket: r.request.Ticket, Target: t.Name, Reason: reason}
}

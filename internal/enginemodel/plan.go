package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// watermarkDivisor keeps a hundredth of the memory free at admission, so that
// the running sequences can grow for a while.
const watermarkDivisor = 100

// plan begins the next step: it gives the running sequences their next blocks,
// preempts where memory is full, and admits waiting sequences.
func (e *Engine) plan(start time.Time) {
	if e.status.ended() {
		return
	}
	e.crashing = nil
	decoding := e.growRunning(start)
	prefill := e.admitWaiting(start, e.planPrefill())
	if len(e.running) == 0 {
		return
	}
	step := e.config.StepBase +
		time.Duration(decoding)*e.config.StepPerSequence +
		time.Duration(prefill)*e.config.StepPerPrefillToken
	e.stepTime = time.Duration(float64(step) * e.slowdown)
	e.stepEnd = start.Add(e.stepTime)
	e.stepping = true
}

// growRunning makes room for the next token of each decoding sequence and
// returns their number.
func (e *Engine) growRunning(now time.Time) int {
	lost := false
	for _, s := range e.running {
		if s.prefillLeft > 0 || s.held < s.capacity || !s.running {
			continue
		}
		lost = !e.grow(s, now) || lost
	}
	if lost {
		e.compactRunning()
	}
	decoding := 0
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
		}
	}
	return decoding
}

// grow gives a sequence one more block. It reports whether no sequence lost its
// place in the batch.
func (e *Engine) grow(s *sequence, now time.Time) bool {
	undisturbed := true
	for !e.pool.allocate(s, 1, now) {
		undisturbed = false
		victim := e.victim()
		if victim == s && e.runningAlone(s) {
			s.running = false
			e.finish(s, engine.FinishLength)
			return false
		}
		e.detach(victim, now)
		if victim == s {
			return false
		}
	}
	return undisturbed
}

func (e *Engine) runningAlone(s *sequence) bool {
	for _, x := range e.running {
		if x != s && x.running {
			return false
		}
	}
	return true
}

// victim returns the running sequence of the lowest priority, and of these the
// latest to arrive. It returns nil for an empty batch.
func (e *Engine) victim() *sequence {
	var victim *sequence
	for _, s := range e.running {
		if s.running && (victim == nil || s.before(victim)) {
			victim = s
		}
	}
	return victim
}

// preempt takes a sequence out of the batch.
func (e *Engine) preempt(s *sequence, now time.Time) {
	e.dropRunning(s)
	e.detach(s, now)
}

// detach frees the memory of a sequence and queues it again. The batch still
// has to be compacted.
func (e *Engine) detach(s *sequence, now time.Time) {
	s.running = false
	e.pool.release(s)
	s.prefillLeft, s.chunk, s.held, s.capacity = 0, 0, 0, 0
	if s.preemptedAt.IsZero() {
		s.preemptedAt = now
	}
	e.waiting.push(s)
	e.stats.Preemptions++
	e.events = append(e.events, Event{Kind: EventPreempted, ID: s.id, Tokens: s.produced})
}

func (e *Engine) compactRunning() {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.running {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// planPrefill divides the prefill budget of the step among the running
// sequences that need it, and returns the tokens used.
func (e *Engine) planPrefill() int {
	used := 0
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			used += e.assignChunk(s, used)
		}
	}
	return used
}

// assignChunk gives a sequence the rest of the budget at most.
func (e *Engine) assignChunk(s *sequence, used int) int {
	s.chunk = min(s.prefillLeft, e.config.PrefillChunk-used)
	if s.crash && s.chunk == s.prefillLeft {
		e.crashing = s
	}
	return s.chunk
}

// admitWaiting admits sequences in the order of the queue while batch, memory
// and prefill budget last. It returns the prefill tokens used in all.
func (e *Engine) admitWaiting(now time.Time, used int) int {
	for len(e.running) < e.config.MaxBatch && used < e.config.PrefillChunk {
		s := e.waiting.first()
		if s == nil {
			break
		}
		if !e.place(s, now) {
			if len(e.running) > 0 {
				break
			}
			e.waiting.remove(s)
			e.finish(s, engine.FinishLength)
			continue
		}
		e.waiting.remove(s)
		e.running = append(e.running, s)
		s.running = true
		used += e.assignChunk(s, used)
	}
	return used
}

// place gives a sequence the memory of its prompt and of the tokens that it has
// produced before, apart from blocks that the cache holds.
func (e *Engine) place(s *sequence, now time.Time) bool {
	tokens := s.promptTokens + s.produced
	e.pool.attach(s)
	hits := len(s.shared)
	need := blocks(tokens+1) - hits
	reserve := 0
	if len(e.running) > 0 {
		reserve = e.pool.total / watermarkDivisor
	}
	if e.pool.available() < need+reserve || !e.pool.allocate(s, need, now) {
		e.pool.release(s)
		return false
	}
	cached := min(hits*BlockTokens, tokens-1)
	s.prefillLeft = tokens - cached
	e.stats.CachedTokens += int64(cached)
	return true
}

package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// watermarkDivisor defines the share of the memory, a hundredth, that admission keeps
// free for the growth of running sequences.
const watermarkDivisor = 100

// planStep starts the next step: it allocates blocks for running sequences, preempts
// sequences if memory is full, and admits waiting sequences.
func (e *Engine) planStep(start time.Time) {
	if e.status.ended() {
		return
	}
	e.crashing = nil
	decoding := e.growDecoding(start)
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

// growDecoding allocates memory for the next token of each decoding sequence and
// returns the number of decoding sequences.
func (e *Engine) growDecoding(now time.Time) int {
	preempted := false
	for _, s := range e.running {
		if s.prefillLeft > 0 || s.kvTokens < s.capacity || !s.running {
			continue
		}
		preempted = !e.grow(s, now) || preempted
	}
	if preempted {
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

// grow allocates one more block for a sequence, preempting others or s itself if
// memory is full. It reports whether no sequence was preempted or ended. The batch must
// be compacted if one was.
func (e *Engine) grow(s *sequence, now time.Time) bool {
	noPreemption := true
	for !e.pool.allocate(s, 1, now) {
		noPreemption = false
		victim := e.preemptionVictim()
		if victim == s && e.isOnlyRunning(s) {
			s.running = false
			e.finish(s, engine.FinishLength)
			return false
		}
		e.requeue(victim, now)
		if victim == s {
			return false
		}
	}
	return noPreemption
}

func (e *Engine) isOnlyRunning(s *sequence) bool {
	for _, x := range e.running {
		if x != s && x.running {
			return false
		}
	}
	return true
}

// preemptionVictim returns the running sequence with the lowest priority, and among
// equals the latest to arrive, or nil if the batch is empty.
func (e *Engine) preemptionVictim() *sequence {
	var victim *sequence
	for _, s := range e.running {
		if s.running && (victim == nil || s.preemptedBefore(victim)) {
			victim = s
		}
	}
	return victim
}

// preempt removes a sequence from the batch, frees its memory and queues it again.
func (e *Engine) preempt(s *sequence, now time.Time) {
	e.removeFromBatch(s)
	e.requeue(s, now)
}

// requeue frees the memory of a running sequence and queues it again. The sequence
// stays in e.running, from which the caller must remove it.
func (e *Engine) requeue(s *sequence, now time.Time) {
	s.running = false
	e.pool.release(s)
	s.prefillLeft, s.prefillChunk, s.kvTokens, s.capacity = 0, 0, 0, 0
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

// planPrefill divides the step's prefill budget among the running sequences in prefill
// and returns the number of tokens assigned.
func (e *Engine) planPrefill() int {
	used := 0
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			used += e.assignPrefillChunk(s, used)
		}
	}
	return used
}

// assignPrefillChunk assigns a sequence as much prefill as remains of the step's budget,
// of which used tokens are assigned already, and returns the size of its chunk.
func (e *Engine) assignPrefillChunk(s *sequence, used int) int {
	s.prefillChunk = min(s.prefillLeft, e.config.PrefillChunk-used)
	if s.crashesEngine && s.prefillChunk == s.prefillLeft {
		e.crashing = s
	}
	return s.prefillChunk
}

// admitWaiting admits sequences in queue order until the batch is full, or memory or
// the prefill budget is exhausted. A sequence that doesn't fit into an empty engine is
// ended. It returns the number of prefill tokens assigned in this step, including used.
func (e *Engine) admitWaiting(now time.Time, used int) int {
	for len(e.running) < e.config.MaxBatch && used < e.config.PrefillChunk {
		s := e.waiting.first()
		if s == nil {
			break
		}
		if !e.reserveMemory(s, now) {
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
		used += e.assignPrefillChunk(s, used)
	}
	return used
}

// reserveMemory allocates memory for the prompt and the tokens that the sequence has
// already produced, except for blocks found in the prefix cache. It allocates nothing
// and returns false if there is too little memory.
func (e *Engine) reserveMemory(s *sequence, now time.Time) bool {
	tokens := s.promptTokens + s.produced
	e.pool.attachCachedPrefix(s)
	cachedBlocks := len(s.sharedBlocks)
	needed := blocksFor(tokens+1) - cachedBlocks
	watermark := 0
	if len(e.running) > 0 {
		watermark = e.pool.total / watermarkDivisor
	}
	if e.pool.available() < needed+watermark || !e.pool.allocate(s, needed, now) {
		e.pool.release(s)
		return false
	}
	cachedTokens := min(cachedBlocks*BlockTokens, tokens-1)
	s.prefillLeft = tokens - cachedTokens
	e.stats.CachedTokens += int64(cachedTokens)
	return true
}

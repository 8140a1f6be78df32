package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// sequence is one generation in the queue or the batch.
type sequence struct {
	id           string
	priority     int
	arrival      int64
	promptTokens int
	hashes       []uint64 // of the prompt's whole blocks, shortest first
	length       int      // output tokens in all, hidden from outside
	reason       engine.FinishReason
	crash        bool

	produced    int
	running     bool
	prefillLeft int      // prompt tokens still to compute, zero while decoding
	chunk       int      // of these, in the step under way
	held        int      // tokens in KV memory while decoding
	capacity    int      // tokens that its blocks can hold
	private     int      // blocks of its own
	shared      []*block // blocks of the prefix cache, in the order of the prompt
	preemptedAt time.Time
}

func newSequence(s Submission, arrival int64) *sequence {
	seq := &sequence{
		id:           s.ID,
		priority:     s.Priority,
		arrival:      arrival,
		promptTokens: max(1, s.PromptTokens),
		hashes:       s.PrefixHashes,
		length:       max(1, s.Length),
		reason:       engine.FinishStop,
		crash:        s.Crash,
		produced:     s.Produced,
	}
	seq.hashes = seq.hashes[:min(len(seq.hashes), seq.promptTokens/BlockTokens)]
	if s.MaxTokens > 0 && seq.length > s.MaxTokens {
		seq.length = s.MaxTokens
		seq.reason = engine.FinishLength
	}
	return seq
}

// before reports whether s is preempted before other: of lower priority, or as
// high and later to arrive.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival > other.arrival
}

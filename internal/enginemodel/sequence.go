package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// sequence is a generation in the waiting queue or the batch.
type sequence struct {
	id            string
	priority      int
	arrival       int64
	promptTokens  int
	prefixHashes  []uint64 // of the prompt's whole blocks, shortest first
	outputLength  int      // total output tokens, not visible from outside
	finishReason  engine.FinishReason
	crashesEngine bool

	produced      int
	running       bool
	prefillLeft   int      // tokens still to be prefilled, zero while decoding
	prefillChunk  int      // of these, in the step in progress
	kvTokens      int      // tokens in KV memory while decoding
	capacity      int      // tokens that fit into its blocks
	privateBlocks int      // blocks used by no other sequence
	sharedBlocks  []*block // blocks of the prefix cache, in the order of the prompt
	preemptedAt   time.Time
}

// newSequence returns the sequence of a submission, whose length it limits to
// MaxTokens.
func newSequence(s Submission, arrival int64) *sequence {
	created := &sequence{
		id:            s.ID,
		priority:      s.Priority,
		arrival:       arrival,
		promptTokens:  max(1, s.PromptTokens),
		prefixHashes:  s.PrefixHashes,
		outputLength:  max(1, s.Length),
		finishReason:  engine.FinishStop,
		crashesEngine: s.Crash,
		produced:      s.Produced,
	}
	created.prefixHashes = created.prefixHashes[:min(len(created.prefixHashes), created.promptTokens/BlockTokens)]
	if s.MaxTokens > 0 && created.outputLength > s.MaxTokens {
		created.outputLength = s.MaxTokens
		created.finishReason = engine.FinishLength
	}
	return created
}

// preemptedBefore reports whether s is preempted before other: it has a lower priority,
// or the same priority and a later arrival.
func (s *sequence) preemptedBefore(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival > other.arrival
}

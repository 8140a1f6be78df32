package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// EventKind names what happened in a step.
type EventKind uint8

// The kinds of events.
const (
	EventToken     EventKind = iota // one output token; Tokens is its offset
	EventDone                       // the generation ended; Tokens is its total, Reason is set
	EventPreempted                  // the generation lost its memory and waits; Tokens is its total so far
	EventResumed                    // the first token after a preemption follows; Stall is set
	EventCrashed                    // the engine died on the generation ID; all others are lost
	EventStopped                    // the engine was reclaimed; all generations are lost
)

// Event is one outcome of a step.
type Event struct {
	Kind   EventKind
	ID     string // generation id
	Tokens int
	Reason engine.FinishReason
	Stall  time.Duration // from the preemption to the next token
}

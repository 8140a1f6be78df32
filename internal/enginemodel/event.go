package enginemodel

import (
	"time"

	"corianderhitch/api/engine"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	EventToken     EventKind = iota // one output token; Tokens is its offset
	EventDone                       // the generation ended; Tokens is its total, Reason is set
	EventPreempted                  // the generation lost its memory and waits again; Tokens is its total so far
	EventResumed                    // the next event is the first token after a preemption; Stall is set
	EventCrashed                    // the generation ID crashed the engine; all generations are lost
	EventStopped                    // the engine was reclaimed; all generations are lost
)

// Event reports something that happened to a generation or the engine.
type Event struct {
	Kind   EventKind
	ID     string // generation id
	Tokens int
	Reason engine.FinishReason
	Stall  time.Duration // from the preemption to the next token
}

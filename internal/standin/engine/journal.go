package engine

import (
	"time"

	apiengine "corianderhitch/api/engine"
)

// EntryKind is the type of a journal entry.
type EntryKind string

// The types of entries.
const (
	EntryStart     EntryKind = "start"     // a generation was started
	EntryEnd       EntryKind = "end"       // a generation ended; Tokens and Reason are set
	EntryOrder     EntryKind = "order"     // an order was received; Rejected is set if it was rejected
	EntryCrash     EntryKind = "crash"     // the generation crashed the engine
	EntryReclaimed EntryKind = "reclaimed" // the platform reclaimed the machine
)

// Entry is one line of the journal. Number counts entries in the order they were
// appended, from 1.
type Entry struct {
	Number     int              `json:"number"`
	Time       time.Time        `json:"time"`
	Engine     string           `json:"engine"`
	Kind       EntryKind        `json:"kind"`
	Generation string           `json:"generation,omitempty"`
	RequestID  string           `json:"request_id,omitempty"`
	Model      string           `json:"model,omitempty"`
	Version    string           `json:"version,omitempty"`
	Adapter    string           `json:"adapter,omitempty"`
	Prefix     int              `json:"prefix,omitempty"` // output tokens that came with the start request
	Tokens     int              `json:"tokens,omitempty"` // total output tokens; GET /admin/journal gives the current count in start entries
	Reason     string           `json:"reason,omitempty"`
	Trace      string           `json:"trace,omitempty"` // traceparent header of the start request
	Fence      int64            `json:"fence,omitempty"`
	Order      *apiengine.Order `json:"order,omitempty"`
	Rejected   bool             `json:"refused,omitempty"`
}

func (s *Server) record(now time.Time, e Entry) {
	err := s.options.Journal.Append(func(number int) Entry {
		e.Number = number
		e.Time = now
		e.Engine = s.model.Name()
		return e
	})
	if err != nil {
		s.log.Error("cannot write the journal", "error", err)
	}
}

// journalEntries returns the journal entries with numbers above after. Start entries
// of known generations get the current token counts.
func (s *Server) journalEntries(after int) []Entry {
	entries := s.options.Journal.After(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range entries {
		if g := s.generations[e.Generation]; g != nil && e.Kind == EntryStart {
			entries[i].Tokens = g.tokenCount
		}
	}
	return entries
}

package engine

import (
	"time"

	apiengine "corianderhitch/api/engine"
)

// EntryKind names what a journal entry records.
type EntryKind string

// The kinds of entries.
const (
	EntryStart     EntryKind = "start"     // a generation was started
	EntryEnd       EntryKind = "end"       // a generation ended; Tokens and Reason are set
	EntryOrder     EntryKind = "order"     // an order came; Refused tells whether it was refused
	EntryCrash     EntryKind = "crash"     // the engine died on the generation
	EntryReclaimed EntryKind = "reclaimed" // the engine was taken away
)

// Entry is one line of the journal. Number gives the order of arrival.
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
	Prefix     int              `json:"prefix,omitempty"` // tokens that came with the start
	Tokens     int              `json:"tokens,omitempty"` // output tokens in all; live in a start entry read over HTTP
	Reason     string           `json:"reason,omitempty"`
	Trace      string           `json:"trace,omitempty"` // traceparent header of the start
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

// entries returns the journal with the live token counts of running generations.
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

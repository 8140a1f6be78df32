package service

import (
	"net/http"
	"time"
)

const (
	// idempotencyKeyHeader names the header with the caller's idempotency key.
	idempotencyKeyHeader = "Idempotency-Key"
	// traceHeader carries the W3C trace context.
	traceHeader = "Traceparent"
)

// Entry is one execution in the journal. Number counts executions from 1.
type Entry struct {
	Number  int       `json:"number"`
	Time    time.Time `json:"time"`
	Service string    `json:"service"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Key     string    `json:"key,omitempty"`     // Idempotency-Key
	Subject string    `json:"subject,omitempty"` // berth or box
	Trace   string    `json:"trace,omitempty"`   // traceparent header
}

// record appends an execution to the journal and returns its number.
func (s *Server) record(r *http.Request, subject string) int {
	var number int
	err := s.options.Journal.Append(func(n int) Entry {
		number = n
		return Entry{
			Number: n, Time: time.Now(), Service: s.options.Name, Method: r.Method, Path: r.URL.Path,
			Key: r.Header.Get(idempotencyKeyHeader), Subject: subject,
			Trace: r.Header.Get(traceHeader),
		}
	})
	if err != nil {
		s.log.Error("cannot write the journal", "error", err)
	}
	return number
}

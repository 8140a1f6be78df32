package service

import (
	"net/http"
	"time"
)

const (
	// idempotencyKey names the header that carries the caller's key.
	idempotencyKeyHeader = "Idempotency-Key"
	// traceHeader carries the W3C trace context.
	traceHeader = "Traceparent"
)

// Entry is one execution in the journal. Number gives the order.
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

// record writes the journal and returns the number of the execution.
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

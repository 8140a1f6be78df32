package service

import (
	"strings"
	"time"
)

// Fault describes how the service misbehaves until it is replaced. The zero
// value is a healthy service. Path restricts it to paths with the prefix; empty
// means all but /admin. The counters run down with each call that they hit.
type Fault struct {
	RequestDelay     time.Duration `json:"request_delay_ns,omitempty"` // before running
	AnswerDelay      time.Duration `json:"answer_delay_ns,omitempty"`  // after running
	RejectNext       int           `json:"refuse_next,omitempty"`      // calls refused before running, with ran=no
	FailNext         int           `json:"fail_next,omitempty"`        // calls that run and answer 500 without a reason
	DropResponseNext int           `json:"cut_next,omitempty"`         // calls that run and get no answer
	DropRequestNext  int           `json:"drop_next,omitempty"`        // calls that do not run and get no answer
	CrashNext        int           `json:"die_next,omitempty"`         // calls that run, then the process ends without answer
	PathPrefix       string        `json:"path,omitempty"`
}

// outcome is what a fault does to one call.
type effect uint8

const (
	effectNone effect = iota
	effectReject
	effectInternalError
	effectDropResponse
	effectDropRequest
	effectCrash
)

// enter takes the fault that hits a call.
func (s *Server) takeFault(path string) (effect, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fault
	if s.leaving {
		return effectReject, Fault{}
	}
	if !strings.HasPrefix(path, f.PathPrefix) {
		return effectNone, Fault{}
	}
	for _, counter := range []struct {
		remaining *int
		effect    effect
	}{
		{&f.RejectNext, effectReject},
		{&f.DropRequestNext, effectDropRequest},
		{&f.FailNext, effectInternalError},
		{&f.DropResponseNext, effectDropResponse},
		{&f.CrashNext, effectCrash},
	} {
		if *counter.remaining > 0 {
			*counter.remaining--
			return counter.effect, *f
		}
	}
	return effectNone, *f
}

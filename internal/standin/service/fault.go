package service

import (
	"strings"
	"time"
)

// Fault is an injected fault. It applies until it is replaced; the zero value is a
// healthy service. PathPrefix restricts it to some paths; empty means all but /admin.
// Each counter is decremented by the call that it affects.
type Fault struct {
	RequestDelay     time.Duration `json:"request_delay_ns,omitempty"` // before the call runs
	ResponseDelay    time.Duration `json:"answer_delay_ns,omitempty"`  // before the response is sent
	RejectNext       int           `json:"refuse_next,omitempty"`      // number of calls rejected with ran=no
	FailNext         int           `json:"fail_next,omitempty"`        // number of calls that run and return status 500 without a reason
	DropResponseNext int           `json:"cut_next,omitempty"`         // number of calls that run, but whose connection is closed without a response
	DropRequestNext  int           `json:"drop_next,omitempty"`        // number of calls whose connection is closed before they run
	CrashNext        int           `json:"die_next,omitempty"`         // number of calls that run, after which the process exits without a response
	UnframedNext     int           `json:"unframed_next,omitempty"`    // number of answers without a length or chunks, which end with their connection
	BrokenNext       int           `json:"broken_next,omitempty"`      // the same, but reset in the middle of the body
	PathPrefix       string        `json:"path,omitempty"`
}

// effect is what a fault does to one call.
type effect uint8

const (
	effectNone effect = iota
	effectReject
	effectInternalError
	effectDropResponse
	effectDropRequest
	effectCrash
	effectUnframed
	effectBroken
)

// takeFault returns the effect of the injected fault on a call to path, and
// decrements the counter of that effect. A service that is leaving rejects every call.
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
		{&f.UnframedNext, effectUnframed},
		{&f.BrokenNext, effectBroken},
	} {
		if *counter.remaining > 0 {
			*counter.remaining--
			return counter.effect, *f
		}
	}
	return effectNone, *f
}

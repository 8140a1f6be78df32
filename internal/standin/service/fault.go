package service

import (
	"strings"
	"time"
)

// Fault describes how the service misbehaves until it is replaced. The zero
// value is a healthy service. Path restricts it to paths with the prefix; empty
// means all but /admin. The counters run down with each call that they hit.
type Fault struct {
	RequestDelay time.Duration `json:"request_delay_ns,omitempty"` // before running
	AnswerDelay  time.Duration `json:"answer_delay_ns,omitempty"`  // after running
	RefuseNext   int           `json:"refuse_next,omitempty"`      // calls refused before running, with ran=no
	FailNext     int           `json:"fail_next,omitempty"`        // calls that run and answer 500 without a reason
	CutNext      int           `json:"cut_next,omitempty"`         // calls that run and get no answer
	DropNext     int           `json:"drop_next,omitempty"`        // calls that do not run and get no answer
	DieNext      int           `json:"die_next,omitempty"`         // calls that run, then the process ends without answer
	Path         string        `json:"path,omitempty"`
}

// outcome is what a fault does to one call.
type outcome uint8

const (
	outcomeServe outcome = iota
	outcomeRefuse
	outcomeFail
	outcomeCut
	outcomeDrop
	outcomeDie
)

// enter takes the fault that hits a call.
func (s *Server) enter(path string) (outcome, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fault
	if s.leaving {
		return outcomeRefuse, Fault{}
	}
	if !strings.HasPrefix(path, f.Path) {
		return outcomeServe, Fault{}
	}
	for _, x := range []struct {
		left    *int
		outcome outcome
	}{
		{&f.RefuseNext, outcomeRefuse},
		{&f.DropNext, outcomeDrop},
		{&f.FailNext, outcomeFail},
		{&f.CutNext, outcomeCut},
		{&f.DieNext, outcomeDie},
	} {
		if *x.left > 0 {
			*x.left--
			return x.outcome, *f
		}
	}
	return outcomeServe, *f
}

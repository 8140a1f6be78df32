package memstore

import (
	"strings"
	"time"
)

// Fault describes the faults that the store injects until the next SetFault. The
// zero value is a healthy store. Prefix restricts all faults but HostListLag to
// calls on keys with the prefix; calls on leases and the host list have no key
// and are affected only if Prefix is empty.
type Fault struct {
	// Outage makes every call fail with platform.ErrUnavailable, including watches
	// that are already blocked. Leases still expire.
	Outage bool `json:"outage,omitempty"`
	// RequestDelay is the delay before a call takes effect. A write still takes effect
	// after the delay if the context of its caller ends meanwhile.
	RequestDelay time.Duration `json:"request_delay_ns,omitempty"`
	// AnswerDelay is the delay between the effect of a call and its answer.
	AnswerDelay time.Duration `json:"answer_delay_ns,omitempty"`
	// LoseAnswers is the probability that a write takes effect and its answer is
	// lost.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext is the number of following writes whose answers are lost.
	LoseNext int    `json:"lose_next,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	// HostListLag is the delay after which changes of the host list become visible.
	HostListLag time.Duration `json:"host_list_lag_ns,omitempty"`
}

// SetFault replaces the injected faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWatchesLocked()
}

// Fault returns the injected faults, with the remaining value of LoseNext.
func (s *Store) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// noKey is the key of calls on leases and the host list, which have none.
const noKey = "\x00"

// faultForLocked returns the faults that apply to a call on key.
func (s *Store) faultForLocked(key string) Fault {
	if s.fault.Prefix == "" || (key != noKey && strings.HasPrefix(key, s.fault.Prefix)) {
		return s.fault
	}
	return Fault{}
}

// loseAnswerLocked reports whether the answer of a write on key is to be lost, and
// counts down LoseNext.
func (s *Store) loseAnswerLocked(key string) bool {
	f := s.faultForLocked(key)
	if f.LoseNext > 0 {
		s.fault.LoseNext--
		return true
	}
	return f.LoseAnswers > 0 && s.random.Float64() < f.LoseAnswers
}

package memstore

import (
	"strings"
	"time"
)

// Fault describes how the store misbehaves until the next SetFault. The zero
// value is a healthy store. Prefix restricts every fault but HostListLag to
// calls on keys with the prefix; calls on leases and the host list have no key
// and are touched only when Prefix is empty.
type Fault struct {
	// Outage makes every call fail with platform.ErrUnavailable, also watches
	// that wait already. Leases run on.
	Outage bool `json:"outage,omitempty"`
	// RequestDelay passes before a call takes effect. A write whose caller gives
	// up meanwhile takes effect nevertheless when the delay ends.
	RequestDelay time.Duration `json:"request_delay_ns,omitempty"`
	// AnswerDelay passes between the effect and the answer.
	AnswerDelay time.Duration `json:"answer_delay_ns,omitempty"`
	// LoseAnswers is the probability that a write takes effect and its answer is
	// lost.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// LoseNext is the number of next writes whose answers are lost.
	LoseNext int    `json:"lose_next,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	// HostListLag delays changes of the host list.
	HostListLag time.Duration `json:"host_list_lag_ns,omitempty"`
}

// SetFault replaces the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeLocked()
}

// Fault returns the fault in force. LoseNext counts down.
func (s *Store) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// noKey marks calls on leases and the host list.
const noKey = "\x00"

// faultLocked returns the fault as it applies to a call on key.
func (s *Store) faultLocked(key string) Fault {
	if s.fault.Prefix == "" || (key != noKey && strings.HasPrefix(key, s.fault.Prefix)) {
		return s.fault
	}
	return Fault{}
}

// loseAnswerLocked decides whether the answer of a write on key is lost.
func (s *Store) loseAnswerLocked(key string) bool {
	f := s.faultLocked(key)
	if f.LoseNext > 0 {
		s.fault.LoseNext--
		return true
	}
	return f.LoseAnswers > 0 && s.random.Float64() < f.LoseAnswers
}

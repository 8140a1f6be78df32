package soak

import (
	"sync"
	"time"
)

// theStore is the subject of troubles that touch all hosts.
const theStore = "store"

// troubles records what was disturbed when, so that promises that hold only for
// hosts in touch are checked only there. It is safe for concurrent use.
type troubles struct {
	mu  sync.Mutex
	all []trouble // guarded by mu
}

type trouble struct {
	subject  string // a host, a target's id, theStore
	what     string
	from, to time.Time // to is zero while it goes on
}

// during records a trouble of a subject while f runs.
func (ts *troubles) during(subject, what string, f func()) {
	ts.mu.Lock()
	n := len(ts.all)
	ts.all = append(ts.all, trouble{subject: subject, what: what, from: time.Now()})
	ts.mu.Unlock()
	f()
	ts.mu.Lock()
	ts.all[n].to = time.Now()
	ts.mu.Unlock()
}

// near tells whether one of the subjects was disturbed, other than by what is
// excepted, at a moment of a time or within the contact bound before it.
func (ts *troubles) near(from, to time.Time, except string, subjects ...string) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, tr := range ts.all {
		for _, subject := range subjects {
			if tr.subject == subject && tr.what != except && tr.from.Before(to.Add(scheduling)) && (tr.to.IsZero() || tr.to.After(from.Add(-contact-scheduling))) {
				return true
			}
		}
	}
	return false
}

// list returns the troubles of one kind.
func (ts *troubles) list(what string) []trouble {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var out []trouble
	for _, tr := range ts.all {
		if tr.what == what {
			out = append(out, tr)
		}
	}
	return out
}

package soak

import (
	"slices"
	"sync"
	"time"

	"corianderhitch/internal/drill/record"
)

// storeSubject is the subject of faults of the store, which affect all hosts.
const storeSubject = "store"

// disturbanceLog records which fault disturbed what and when. Guarantees that hold
// only for hosts in contact with the store and targets are checked only for
// undisturbed ones. It is safe for concurrent use.
type disturbanceLog struct {
	mu  sync.Mutex
	all []disturbance // guarded by mu
}

// disturbance is one fault and the time during which it lasted.
type disturbance struct {
	subject  string // a host's name, a target's id or storeSubject
	kind     string
	from, to time.Time // to is zero while the fault lasts
}

// during runs f and records its run time as a disturbance of the subject.
func (l *disturbanceLog) during(subject, kind string, f func()) {
	l.mu.Lock()
	n := len(l.all)
	l.all = append(l.all, disturbance{subject: subject, kind: kind, from: time.Now()})
	l.mu.Unlock()
	f()
	l.mu.Lock()
	l.all[n].to = time.Now()
	l.mu.Unlock()
}

// affected reports whether a fault of another kind than except disturbed one of the
// subjects between from and to or within contactBound before that. Both ends are
// widened by schedulingSlack.
func (l *disturbanceLog) affected(from, to time.Time, except string, subjects ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.all {
		for _, subject := range subjects {
			if d.subject == subject && d.kind != except && d.from.Before(to.Add(schedulingSlack)) && (d.to.IsZero() || d.to.After(from.Add(-contactBound-schedulingSlack))) {
				return true
			}
		}
	}
	return false
}

// interrupted reports whether a fault of one of the kinds affected the subject between from
// and to. Both ends are widened by schedulingSlack.
func (l *disturbanceLog) interrupted(from, to time.Time, subject string, kinds ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.all {
		if d.subject == subject && slices.Contains(kinds, d.kind) && d.from.Before(to.Add(schedulingSlack)) && (d.to.IsZero() || d.to.After(from.Add(-schedulingSlack))) {
			return true
		}
	}
	return false
}

// spans returns when the subject was disturbed, by a fault of one of the kinds if any are named.
func (l *disturbanceLog) spans(subject string, kinds ...string) []record.Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []record.Span
	for _, d := range l.all {
		if d.subject != subject || len(kinds) > 0 && !slices.Contains(kinds, d.kind) {
			continue
		}
		if d.to.IsZero() {
			d.to = time.Now().Add(callTimeout)
		}
		out = append(out, record.Span{From: d.from, To: d.to})
	}
	return out
}

// of describes the disturbances of a subject.
func (l *disturbanceLog) of(subject string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, d := range l.all {
		if d.subject == subject {
			out = append(out, d.kind+" from "+d.from.Format(timeLayout)+" to "+d.to.Format(timeLayout))
		}
	}
	return out
}

// ofKind returns the disturbances of one kind, in the order in which they began.
func (l *disturbanceLog) ofKind(kind string) []disturbance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []disturbance
	for _, d := range l.all {
		if d.kind == kind {
			out = append(out, d)
		}
	}
	return out
}

package record

import (
	"slices"
	"sync"
	"time"
)

// Log collects what the participants of a drill see. It is safe for concurrent use.
type Log struct {
	mu  sync.Mutex
	run Run // guarded by mu
}

// NewLog returns a log of a run with the given seed.
func NewLog(seed uint64, d Deployment) *Log {
	return &Log{run: Run{Seed: seed, Deployment: d, Began: time.Now()}}
}

// Request adds an attempt of a caller, which has ended.
func (l *Log) Request(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Requests = append(l.run.Requests, r)
}

// Arrive adds an arrival and returns its number.
func (l *Log) Arrive(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Arrivals = append(l.run.Arrivals, a)
	return len(l.run.Arrivals) - 1
}

// UpdateArrival changes an arrival.
func (l *Log) UpdateArrival(n int, change func(*Arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.run.Arrivals[n])
}

// Host adds an event of a host's process.
func (l *Log) Host(host string, e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.HostEvents = append(l.run.HostEvents, HostEvent{Host: host, At: time.Now(), Event: e})
}

// Version adds a configuration that the store has acknowledged.
func (l *Log) Version(v Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Versions = append(l.run.Versions, v)
}

// Target adds the start of a target.
func (l *Log) Target(t Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Targets = append(l.run.Targets, t)
}

// UpdateTarget changes a target.
func (l *Log) UpdateTarget(id string, change func(*Target)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.run.Targets {
		if l.run.Targets[i].ID == id {
			change(&l.run.Targets[i])
		}
	}
}

// Outage adds an outage of the store.
func (l *Log) Outage(s Span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Outages = append(l.run.Outages, s)
}

// Cut adds a cut between hosts and all targets.
func (l *Log) Cut(c Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Cuts = append(l.run.Cuts, c)
}

// Brittle adds a time in which the targets of a service were brittle.
func (l *Log) Brittle(b Brittle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Brittle = append(l.run.Brittle, b)
}

// Evacuation adds an evacuation of a failure domain that has ended.
func (l *Log) Evacuation(e Evacuation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.run.Evacuated = append(l.run.Evacuated, e)
}

// Finish returns the record of the run.
func (l *Log) Finish() *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.run
	run.Ended = time.Now()
	run.Requests, run.Arrivals = slices.Clone(run.Requests), slices.Clone(run.Arrivals)
	run.HostEvents, run.Versions, run.Targets = slices.Clone(run.HostEvents), slices.Clone(run.Versions), slices.Clone(run.Targets)
	slices.SortStableFunc(run.Requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) })
	slices.SortStableFunc(run.Versions, func(a, b Version) int { return a.Sent.Compare(b.Sent) })
	hosts := make(map[string]string, len(run.Requests))
	for i := range run.Requests {
		hosts[run.Requests[i].ID] = run.Requests[i].Host
	}
	for i := range run.Arrivals {
		run.Arrivals[i].Host = hosts[run.Arrivals[i].Request]
	}
	return &run
}

package targetspeed

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// Sources of the factors in force.
const (
	fromHub   = "hub"   // a hub told this host
	fromHosts = "hosts" // this host merges the samples of all hosts
	fromSelf  = "self"  // this host's own samples only
)

// Status is what a host knows of the speed of targets, for operators.
type Status struct {
	Source   string          `json:"source"` // "hub", "hosts" or "self"
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus is the part of a Status on one service.
type ServiceStatus struct {
	Name    string         `json:"name"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is the part of a Status on one target.
type TargetStatus struct {
	Target string  `json:"target"`
	Factor float64 `json:"factor"` // in force
	// Of the samples that this host has, its own or, if it merges them, those of all hosts; absent if it
	// has none.
	Samples float64 `json:"samples,omitempty"` // seconds of runs or number of calls
	Trust   float64 `json:"trust,omitempty"`   // from 0 to 1
	AgeMS   int64   `json:"age_ms,omitempty"`
}

// Status returns what this host knows.
func (t *Tracker) Status() Status {
	now := t.now()
	t.update(now)
	services := t.Services()
	t.mu.Lock()
	defer t.mu.Unlock()
	status, estimator := Status{Source: fromSelf, Services: []ServiceStatus{}}, t.own
	switch {
	case t.hears(now):
		status.Source = fromHub
	case t.isMerging(now):
		status.Source, estimator = fromHosts, t.merged
	}
	for _, s := range services {
		half := estimator.halfCalls(s)
		part := ServiceStatus{Name: s.Name, Targets: []TargetStatus{}}
		for _, target := range s.Targets {
			part.Targets = append(part.Targets, t.statusOf(target, estimator, half, now))
		}
		status.Services = append(status.Services, part)
	}
	return status
}

// statusOf returns the status of a target with samples from an estimator. Callers hold t.mu.
func (t *Tracker) statusOf(target string, e *Estimator, halfCalls float64, now bootclock.Instant) TargetStatus {
	id := IDOf(target)
	s := TargetStatus{Target: target, Factor: t.slowness(id, now)}
	if r := e.records[id]; r != nil {
		_, trust := r.sums.slowness(halfCalls)
		s.Samples, s.Trust, s.AgeMS = round(r.sums.Decode+r.sums.First+r.sums.Calls), round(trust), int64(now.Sub(r.at)/time.Millisecond)
	}
	return s
}

// round returns a value with two decimals.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// ServeHTTP answers with the Status as JSON.
func (t *Tracker) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(t.Status()) // ignored: the client may have disconnected
}

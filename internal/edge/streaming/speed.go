package streaming

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

const (
	// speedSampleTime is the time between events that makes one sample of an engine's speed.
	speedSampleTime = 200 * time.Millisecond
	// maxEventGap is the longest time for an event that counts: the slowest engines take 0.3 s, while a
	// run that was preempted waits at least until its prompt has been prefilled again.
	maxEventGap = 500 * time.Millisecond
	// maxCallerWrite is the longest write to the caller after which events count: a slow caller and not
	// the engine decides when the next events are read.
	maxCallerWrite = 30 * time.Millisecond
)

// speedMeter sums the time between the events of a run at one engine. Sums are exact also if events
// arrive in bunches. Only the reading goroutine uses it.
type speedMeter struct {
	elapsed time.Duration
	events  int
}

// add adds events that were read at now, after the previous ones at before, which took until written to
// send to the caller.
func (m *speedMeter) add(before, written, now bootclock.Instant, events int) {
	gap := now.Sub(before)
	switch {
	case written.Sub(before) > maxCallerWrite:
		*m = speedMeter{}
	case gap <= maxEventGap*time.Duration(events):
		m.elapsed += gap
		m.events += events
	}
}

// measureSpeed takes samples of the engine's speed from events that have just been read. before is when
// the previous ones were, first tells that they are the first from this engine.
func (r *Run) measureSpeed(s *segment, before bootclock.Instant, events int, first bool) {
	if r.server.Speeds == nil {
		return
	}
	if first {
		r.meter = speedMeter{}
		r.measureFirst(s)
		return
	}
	r.meter.add(before, bootclock.Instant(r.lastEventAt.Load()), r.forwardedAt, events)
	if r.meter.elapsed < speedSampleTime {
		return
	}
	m := r.meter
	r.meter = speedMeter{}
	key := s.target.Key()
	if r.server.countsForSpeed(key, r.forwardedAt.Add(-m.elapsed), r.forwardedAt) {
		r.server.Speeds.RecordDecode(key, r.server.Inflight.TotalLoad(key).Runs, m.elapsed, m.events*r.call.Service.Engine.TokensPerEvent)
	}
}

// measureFirst takes a sample from the first event of a run that the engine started from its prompt.
func (r *Run) measureFirst(s *segment) {
	key := s.target.Key()
	if s.watch == nil || s.load.Unread == 0 || !r.server.countsForSpeed(key, s.watch.sentAt, r.forwardedAt) {
		return
	}
	r.server.Speeds.RecordFirst(key, r.server.Inflight.TotalLoad(key).Runs, s.load.Unread, s.load.Unread+s.unreadAhead, r.forwardedAt.Sub(s.watch.sentAt))
}

// countsForSpeed reports whether what this host observed of an engine in a time shows its speed: this
// process was not stalled, and the engine does not leave.
func (s *Server) countsForSpeed(key string, from, now bootclock.Instant) bool {
	return !s.Stalls.Affected(from, now) && !s.Targets.HasAnnounced(key)
}

// prefillTime returns how long the engines of a service take to prefill prompt tokens, on average over
// their learned speeds.
func (s *Server) prefillTime(service *policy.Service, tokens int) time.Duration {
	typical := placement.PrefillTime(tokens)
	engines := s.Targets.View().Available(service.Name)
	if s.Speeds == nil || len(engines) == 0 {
		return typical
	}
	sum := 0.0
	for _, f := range s.slownessOf(engines) {
		sum += f
	}
	return time.Duration(float64(typical) * sum / float64(len(engines)))
}

// slownessOf returns the learned factors of engines.
func (s *Server) slownessOf(engines []*targets.Target) []float64 {
	keys := make([]string, len(engines))
	for i, t := range engines {
		keys[i] = t.Key()
	}
	return s.Speeds.SlownessOf(keys)
}

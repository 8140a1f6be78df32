package judge

import (
	"slices"
	"time"

	"corianderhitch/internal/drill/record"
)

// ownEnd is how soon after a disruption the end of a process counts as part of it.
const ownEnd = time.Second

// forever is the end of a span that the record doesn't end.
var forever = time.Unix(1<<40, 0)

// contact knows when which host was in touch.
type contact struct {
	bound    time.Duration
	grace    time.Duration
	hosts    map[string]*history
	unstable []record.Span // of the store
}

// history is what disturbed the processes of a host.
type history struct {
	planned, unplanned []record.Span
	cuts               []record.Span // from all targets; the host stays in touch
	stops              []time.Time   // first SIGTERM of each process
	hups               []time.Time
}

func newContact(run *record.Run) *contact {
	c := &contact{bound: run.Deployment.Bounds.Contact, grace: run.Deployment.Bounds.Grace, hosts: make(map[string]*history), unstable: run.Outages}
	byHost := make(map[string][]record.HostEvent)
	for _, e := range run.HostEvents {
		byHost[e.Host] = append(byHost[e.Host], e)
	}
	for host, events := range byHost {
		c.hosts[host] = c.readHistory(events)
	}
	for _, cut := range run.Cuts {
		for _, host := range cut.Hosts {
			if c.hosts[host] == nil {
				c.hosts[host] = &history{}
			}
			c.hosts[host].cuts = append(c.hosts[host].cuts, cut.Span)
		}
	}
	return c
}

// readHistory sorts the events of one host into disturbances that were planned and others.
func (c *contact) readHistory(events []record.HostEvent) *history {
	var (
		h         history
		stop      time.Time      // first SIGTERM of the running process
		disturbed time.Time      // last disturbance of the running process
		down      record.Span    // from the end of a process until the next one starts
		kept      *[]record.Span // the disturbances that down belongs to; nil if it ended by itself
		frozen    time.Time
	)
	at := func(t time.Time) record.Span { return record.Span{From: t, To: t} }
	for _, e := range events {
		switch e.Event {
		case record.Started:
			switch {
			case kept != nil:
				down.To = e.At
				*kept = append(*kept, down)
			case down.From.IsZero():
				h.planned = append(h.planned, at(e.At)) // the first start
			}
			stop, disturbed, down, kept, frozen = time.Time{}, time.Time{}, record.Span{}, nil, time.Time{}
		case record.Term:
			if stop.IsZero() {
				stop = e.At
				h.stops = append(h.stops, e.At)
			}
			h.planned = append(h.planned, at(e.At))
		case record.Hup:
			h.hups = append(h.hups, e.At)
		case record.Killed:
			kept = &h.unplanned
			if !stop.IsZero() && e.At.Sub(stop) >= c.grace {
				kept = &h.planned
			}
			down = record.Span{From: e.At, To: forever}
		case record.Exited:
			if kept != nil {
				break
			}
			down = record.Span{From: e.At, To: forever}
			switch {
			case !stop.IsZero():
				kept = &h.planned
			case !disturbed.IsZero() && e.At.Sub(disturbed) <= ownEnd:
				kept = &h.unplanned
			}
		case record.Frozen:
			frozen = e.At
		case record.Thawed:
			h.unplanned = append(h.unplanned, record.Span{From: frozen, To: e.At})
			disturbed, frozen = e.At, time.Time{}
		}
	}
	if !frozen.IsZero() {
		h.unplanned = append(h.unplanned, record.Span{From: frozen, To: forever})
	}
	if kept != nil {
		*kept = append(*kept, down)
	}
	return &h
}

// inTouch reports whether a host was in touch at a moment.
func (c *contact) inTouch(host string, at time.Time) bool { return c.inTouchDuring(host, at, at) }

// outOfTouch returns when a host was not in touch.
func (c *contact) outOfTouch(host string) []record.Span {
	h := c.of(host)
	out := slices.Concat(h.planned, h.unplanned, c.unstable)
	for i := range out {
		out[i].To = out[i].To.Add(c.bound)
	}
	return out
}

// inTouchDuring reports whether a host was in touch all the time between two moments.
func (c *contact) inTouchDuring(host string, from, to time.Time) bool {
	since := from.Add(-c.bound)
	return c.runsUndisturbed(host, since, to) && !overlaps(c.unstable, since, to)
}

// runsUndisturbed reports whether nothing disturbed the processes of a host.
func (c *contact) runsUndisturbed(host string, from, to time.Time) bool {
	h := c.hosts[host]
	return h == nil || !overlaps(h.planned, from, to) && !overlaps(h.unplanned, from, to)
}

// reachesTargets reports whether a host was not cut off from the targets.
func (c *contact) reachesTargets(host string, from, to time.Time) bool {
	h := c.hosts[host]
	return h == nil || !overlaps(h.cuts, from, to)
}

// undisrupted reports whether nothing unplanned disturbed a host or its links to the targets from
// contactMs before from until to. Disruptions of the store don't count.
func (c *contact) undisrupted(host string, from, to time.Time) bool {
	h := c.hosts[host]
	return h == nil || !overlaps(h.unplanned, from.Add(-c.bound), to) && !overlaps(h.cuts, from.Add(-c.bound), to)
}

// storeStable reports whether the store was stable at a moment.
func (c *contact) storeStable(at time.Time) bool { return !overlaps(c.unstable, at.Add(-c.bound), at) }

// of returns the history of a host.
func (c *contact) of(host string) *history {
	if h := c.hosts[host]; h != nil {
		return h
	}
	return &history{}
}

// overlaps reports whether one of the spans touches the time after from until to. What ended
// at from no longer counts.
func overlaps(spans []record.Span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s record.Span) bool { return !s.From.After(to) && s.To.After(from) })
}

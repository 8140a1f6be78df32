package experiment

import (
	"slices"
	"strings"
	"time"

	"corianderhitch/internal/scheduling"
)

// crashRestart is the time after which an engine that a request killed is back.
const crashRestart = 10 * time.Second

// report polls all engines and tells the policy.
func (r *runner) report() {
	targets := make([]scheduling.Target, len(r.slots))
	for i, slot := range r.slots {
		targets[i] = r.target(slot)
	}
	r.policy.SetTargets(r.time.now, targets)
	for _, slot := range r.slots {
		r.cacheEvents(slot)
	}
	r.decide()
	r.time.after(milliseconds(r.scenario.Reports.EveryMS), r.report)
}

func (r *runner) target(slot *engineSlot) scheduling.Target {
	load := slot.engine.Load(r.time.now)
	return scheduling.Target{
		Name: slot.name, TotalBlocks: load.TotalBlocks, BlockTokens: load.BlockTokens,
		ReportedAt: load.ReportedAt, UsedBlocks: load.UsedBlocks, Running: load.Running,
		Waiting: load.Waiting, StepMS: load.StepMS, Preemptions: load.Preemptions,
		Leaving: load.Leaving || slot.leaving, Healthy: slot.known,
	}
}

func (r *runner) cacheEvents(slot *engineSlot) {
	if !slot.up {
		return
	}
	answer := slot.engine.CacheEvents(r.time.now, slot.cacheAfter)
	update := scheduling.CacheUpdate{Target: slot.name}
	expected := slot.cacheAfter + 1
	for _, e := range answer.Events {
		update.Lost = update.Lost || e.Seq != expected
		expected = e.Seq + 1
		if e.Kind == "stored" {
			update.Stored = append(update.Stored, e.Hash)
		} else {
			update.Evicted = append(update.Evicted, e.Hash)
		}
	}
	slot.cacheAfter = answer.Next
	if len(answer.Events) > 0 {
		r.policy.ObserveCache(r.time.now, update)
	}
}

// fault makes a fault of the scenario happen.
func (r *runner) fault(f Fault) {
	slot := r.slots[f.Target]
	switch f.Kind {
	case FaultKill:
		r.kill(slot, seconds(f.Seconds))
	case FaultReclaim:
		slot.engine.Reclaim(r.time.now, seconds(f.GraceSeconds))
		slot.scheduled = time.Time{}
		r.wake(slot)
		r.time.after(seconds(f.GraceSeconds+f.Seconds), func() { r.restart(slot) })
	case FaultStall:
		slot.stalledTo = r.time.now.Add(seconds(f.Seconds))
		r.metrics.interrupted += len(r.runningOn(slot))
	case FaultCrash: // its request is among the arrivals
	}
}

// kill ends an engine without a sign; its loss shows after the detection bound.
func (r *runner) kill(slot *engineSlot, back time.Duration) {
	r.down(slot, milliseconds(r.scenario.DetectionMS))
	r.time.after(back, func() { r.restart(slot) })
}

// down takes an engine out and tells gateways and owner after a while.
func (r *runner) down(slot *engineSlot, noticed time.Duration) {
	if !slot.up {
		return
	}
	slot.up = false
	lost := r.runningOn(slot)
	r.metrics.interrupted += len(lost)
	r.time.after(noticed+r.toOwner, func() {
		slot.known = false
		r.policy.Crashed(r.time.now, slot.name)
		r.decide()
	})
	r.time.after(noticed+r.toOwner, func() { r.runElsewhere(lost) })
}

// runningOn returns the calls that an engine runs, in a stable order.
func (r *runner) runningOn(slot *engineSlot) []*call {
	var list []*call
	for _, c := range r.byTicket {
		if c.target == slot.name && c.state == callOpen {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return strings.Compare(a.ticket, b.ticket) })
	return list
}

// runElsewhere continues the calls that an engine took down with it.
func (r *runner) runElsewhere(lost []*call) {
	for _, c := range lost {
		if c.delivered > 0 && !r.scenario.ContinueFromPrefix {
			delete(r.byTicket, c.ticket)
			r.final(c)
			continue
		}
		r.again(c, 0, true)
	}
}

// restart puts a new, empty engine in the place of one that is down.
func (r *runner) restart(slot *engineSlot) {
	if slot.up {
		return
	}
	for i, s := range r.slots {
		if s == slot {
			slot.engine = r.newEngine(i)
		}
	}
	slot.up, slot.known, slot.leaving = true, true, false
	slot.scheduled = time.Time{}
	slot.cacheAfter = 0
}

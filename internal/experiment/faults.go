package experiment

import (
	"slices"
	"strings"
	"time"

	"corianderhitch/internal/scheduling"
)

// crashRestartDelay is the time until an engine that a request crashed is restarted.
const crashRestartDelay = 10 * time.Second

// pollReports passes the load reports and cache events of all engines to the policy, and
// schedules the next poll.
func (r *runner) pollReports() {
	targets := make([]scheduling.Target, len(r.targets))
	for i, target := range r.targets {
		targets[i] = r.schedulingTarget(target)
	}
	r.policy.SetTargets(r.timeline.now, targets)
	for _, target := range r.targets {
		r.pollCacheEvents(target)
	}
	r.scheduleDecision()
	r.timeline.scheduleAfter(milliseconds(r.scenario.Reports.EveryMS), r.pollReports)
}

func (r *runner) schedulingTarget(target *targetState) scheduling.Target {
	load := target.engine.Load(r.timeline.now)
	return scheduling.Target{
		Name: target.name, TotalBlocks: load.TotalBlocks, BlockTokens: load.BlockTokens,
		ReportedAt: load.ReportedAt, UsedBlocks: load.UsedBlocks, Running: load.Running,
		Waiting: load.Waiting, StepMS: load.StepMS, Preemptions: load.Preemptions,
		Leaving: load.Leaving || target.knownLeaving, Healthy: target.believedHealthy,
	}
}

// pollCacheEvents passes the target's new cache events to the policy, and whether some
// were lost.
func (r *runner) pollCacheEvents(target *targetState) {
	if !target.running {
		return
	}
	reply := target.engine.CacheEvents(r.timeline.now, target.lastCacheSeq)
	update := scheduling.CacheUpdate{Target: target.name}
	expected := target.lastCacheSeq + 1
	for _, e := range reply.Events {
		update.Lost = update.Lost || e.Seq != expected
		expected = e.Seq + 1
		if e.Kind == "stored" {
			update.Stored = append(update.Stored, e.Hash)
		} else {
			update.Evicted = append(update.Evicted, e.Hash)
		}
	}
	target.lastCacheSeq = reply.Next
	if len(reply.Events) > 0 {
		r.policy.ObserveCache(r.timeline.now, update)
	}
}

// injectFault injects a fault of the scenario.
func (r *runner) injectFault(f Fault) {
	target := r.targets[f.Target]
	switch f.Kind {
	case FaultKill:
		r.kill(target, seconds(f.Seconds))
	case FaultReclaim:
		target.engine.Reclaim(r.timeline.now, seconds(f.GraceSeconds))
		target.nextStepAt = time.Time{}
		r.scheduleStep(target)
		r.timeline.scheduleAfter(seconds(f.GraceSeconds+f.Seconds), func() { r.restart(target) })
	case FaultStall:
		target.stalledUntil = r.timeline.now.Add(seconds(f.Seconds))
		r.metrics.interrupted += len(r.runningOn(target))
	case FaultSilence:
		target.engine.Silence(r.timeline.now.Add(seconds(f.Seconds)))
		r.metrics.interrupted += len(r.runningOn(target))
		r.scheduleStep(target)
	case FaultPause:
		r.pause(target, seconds(f.Seconds))
	case FaultCrash: // Arrivals includes its request
	}
}

// kill stops an engine without notice. Gateways detect the loss after the scenario's
// detection time.
func (r *runner) kill(target *targetState, restartDelay time.Duration) {
	r.takeDown(target, milliseconds(r.scenario.DetectionMS))
	r.timeline.scheduleAfter(restartDelay, func() { r.restart(target) })
}

// takeDown marks a target as not running. After the detection delay it reports the crash
// to the policy and runs the target's calls again.
func (r *runner) takeDown(target *targetState, detectionDelay time.Duration) {
	if !target.running {
		return
	}
	target.running = false
	lost := r.runningOn(target)
	r.metrics.interrupted += len(lost)
	r.timeline.scheduleAfter(detectionDelay+r.ownerDelay, func() {
		target.believedHealthy = false
		r.policy.Crashed(r.timeline.now, target.name)
		r.scheduleDecision()
	})
	r.timeline.scheduleAfter(detectionDelay+r.ownerDelay, func() { r.rerunLost(lost) })
}

// runningOn returns the open calls on a target, in a deterministic order.
func (r *runner) runningOn(target *targetState) []*call {
	var list []*call
	for _, c := range r.callsByTicket {
		if c.target == target.name && c.state == callOpen {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return strings.Compare(a.ticket, b.ticket) })
	return list
}

// rerunLost runs the calls of a lost engine again, or breaks off the streams that have
// begun.
func (r *runner) rerunLost(lost []*call) {
	for _, c := range lost {
		c.lostEngines++
		switch {
		case c.delivered > 0 && r.breaksOffLost():
			delete(r.callsByTicket, c.ticket)
			r.rejectOrResend(c)
		case c.delivered > 0 && r.lostStreams == RepeatLost:
			r.retry(c, 2*callerDelay, true)
		default:
			r.retry(c, 0, true)
		}
	}
}

func (r *runner) breaksOffLost() bool {
	return r.lostStreams == BreakOffLost || (r.lostStreams == ContinueLost && !r.scenario.ContinueFromPrefix)
}

// restart starts a new, empty engine at a target that is not running.
func (r *runner) restart(target *targetState) {
	if target.running {
		return
	}
	for i, s := range r.targets {
		if s == target {
			target.engine = r.newEngine(i)
			target.starts++
		}
	}
	target.running, target.believedHealthy, target.knownLeaving = true, true, false
	target.nextStepAt = time.Time{}
	target.lastCacheSeq = 0
}

package main

import (
	"fmt"
	"time"
)

const (
	twoHosts, twoEngineCount, twoRounds = 3, 8, 4
	// twoStreams and twoCallers are per host.
	twoStreams, twoCallers = 18, 28
	// hangingFor is how long the engine does not answer hangingShare of its requests.
	hangingFor   = 6500 * time.Millisecond
	hangingShare = 0.45
	// countFor is for how long the requests that an engine runs are counted before it loses answers.
	countFor = 5500 * time.Millisecond
	// copiesTime is how long the hosts have to copy the streams' memory.
	copiesTime = 3 * time.Second
	// runsPerLost is at least how many requests the engine has run for each whose answer it loses.
	runsPerLost = 20
	// losesAfter is how long the engine has not answered part of its requests when it loses answers.
	losesAfter = 500 * time.Millisecond
	// maxOverlap is how long the engine before may still work on a request that goes on at another one.
	maxOverlap = 400 * time.Millisecond
)

// twoEngines lets an engine that does not answer part of its requests lose the answers of some streams, on
// which it goes on working.
func twoEngines(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := startDeployment(f, twoHosts, twoEngineCount); err != nil {
		return false, err
	}
	short := startCrowd(f, twoCallers, 10*time.Millisecond, request{route: "summary", in: 100, out: 4, deadline: 6 * time.Second})
	defer short.stop()
	for round := range twoRounds {
		f.engines.resetCounts()
		time.Sleep(countFor - copiesTime - losesAfter)
		prefix := fmt.Sprintf("brief-%d", round)
		long := startStreams(f, twoStreams, request{id: prefix, route: "brief", in: 800, out: 800, deadline: 39 * time.Second})
		time.Sleep(copiesTime)
		source := busiest(f.engines, prefix)
		if trouble() {
			source.hanging.Store(true)
			r.add("engine %s does not answer %.0f %% of its requests for %v", source.id, 100*hangingShare, hangingFor)
			time.Sleep(losesAfter)
			n := int(source.answers.Load() / runsPerLost)
			r.say("round %d: engine %s gave %d answers lately and loses those of %d streams at most", round, source.id, source.answers.Load(), n)
			source.loseAnswers(n, prefix)
			time.Sleep(hangingFor - losesAfter)
			source.hanging.Store(false)
		} else {
			time.Sleep(hangingFor)
		}
		long.stop()
		time.Sleep(500 * time.Millisecond)
	}
	return judgeSpans(f) > 0, nil
}

// judgeSpans returns how many requests went on at an engine while the one before worked on them for longer
// than the rule allows.
func judgeSpans(f *fleet) (found int) {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	for _, later := range f.engines.spans {
		if !later.continued {
			continue
		}
		for _, before := range f.engines.spans {
			if before == later || before.id != later.id || before.from.After(later.from) {
				continue
			}
			overlap := endOf(before).Sub(later.from)
			if overlap > maxOverlap && endOf(later).Sub(later.from) > maxOverlap {
				f.record.say("%s went on at %s while %s worked on it for another %v", later.id, later.engine, before.engine, overlap.Round(time.Millisecond))
				found++
			}
		}
	}
	f.record.say("%d requests went on at one engine while another worked on them for more than %v", found, maxOverlap)
	return found
}

func endOf(p *span) time.Time {
	if p.to.IsZero() {
		return time.Now()
	}
	return p.to
}

package main

import (
	"fmt"
	"time"
)

const (
	staleHosts, staleEngines, staleRounds = 3, 6, 4
	// staleStreams and staleCallers are per host.
	staleStreams, staleCallers = 14, 16
	// faultyLead is how long the engine has been faulty when the long streams begin; it is for
	// faultyFor in all.
	faultyLead = 3 * time.Second
	faultyFor  = 5500 * time.Millisecond
	// copiesWait is how long the hosts have to copy the streams' memory before the engine crashes.
	copiesWait = 3500 * time.Millisecond
	// crashFor is for how long the engine is down.
	crashFor = 4500 * time.Millisecond
	// answersPerDouble is at least how many answers the engine gives for each that it writes twice.
	answersPerDouble = 20
)

// staleCopy lets an engine write the answer to a call for a copy a second time, where the next answer is
// expected on that connection, and then crash. The streams that it served go on from copies of their memory.
func staleCopy(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := startDeployment(f, staleHosts, staleEngines); err != nil {
		return false, err
	}
	short := startCrowd(f, staleCallers, 20*time.Millisecond, request{route: "summary", in: 100, out: 4, deadline: 6 * time.Second})
	defer short.stop()
	foreign := 0
	for round := range staleRounds {
		n, err := staleRound(f, round)
		if err != nil {
			return false, err
		}
		foreign += n
	}
	r.say("%d callers got events of other requests", foreign)
	return foreign > 0, nil
}

// staleRound returns how many callers got events of other requests.
func staleRound(f *fleet, round int) (foreign int, err error) {
	f.engines.mu.Lock()
	source := f.engines.all[round]
	f.engines.mu.Unlock()
	source.answers.Store(0)
	f.record.add("round %d: engine %s is faulty for %v", round, source.id, faultyFor)
	time.Sleep(faultyLead)
	if trouble() {
		source.doubles.Store(max(1, source.answers.Load()/answersPerDouble))
	}
	long := startStreams(f, staleStreams, request{id: fmt.Sprintf("brief-%d", round), route: "brief", in: 200, out: 1000, deadline: 39 * time.Second})
	time.Sleep(faultyFor - faultyLead)
	doubles := source.doubles.Swap(0)
	f.record.say("round %d: engine %s gave %d answers while it was faulty; it may write %d more of them twice", round, source.id, source.answers.Load(), max(0, doubles))
	time.Sleep(copiesWait - (faultyFor - faultyLead))
	if trouble() {
		source.crash()
		time.Sleep(3 * heartbeat)
		if err := f.expire(source); err != nil {
			return 0, err
		}
		time.Sleep(crashFor - 3*heartbeat)
		if _, err := f.startEngine(fmt.Sprintf("i-%d", staleEngines+round+1), source.zone); err != nil {
			return 0, err
		}
	} else {
		time.Sleep(crashFor)
	}
	time.Sleep(time.Second)
	long.stop()
	for id, a := range long.answers {
		if a.foreign != "" {
			f.record.say("caller of %s got %s", id, a.foreign)
			foreign++
		}
	}
	return foreign, nil
}

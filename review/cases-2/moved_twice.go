package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	movedHosts, movedEngines, movedRounds = 3, 8, 5
	// longStreams and shortCallers are per host.
	longStreams, shortCallers = 16, 32
	// cutFor is how long the engine is partitioned from the store; its entry is removed after three
	// heartbeat intervals.
	cutFor = 5 * time.Second
	// failingFor is how long the engine resets failingShare of its requests without running them.
	failingFor   = 6500 * time.Millisecond
	failingShare = 0.45
	// failingLead is how long before the removal of its entry that begins.
	failingLead = time.Second
	// maxUnanswered is how many requests of kept connections one host may close without an answer.
	maxUnanswered = 3
)

// movedTwice lets an engine leave twice while it serves long streams: its entry expires and comes back, and
// later it is taken away as planned. Part of its requests fail the first time.
func movedTwice(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := startDeployment(f, movedHosts, movedEngines); err != nil {
		return false, err
	}
	// Streams of one event: many callers wait for the head of an answer at any time.
	short := startCrowd(f, shortCallers, 30*time.Millisecond, request{route: "summary", in: 100, out: streamStride, deadline: 6 * time.Second})
	for round := 0; round < movedRounds && len(endedHosts(f)) == 0; round++ {
		if err := movedRound(f, round); err != nil {
			return false, err
		}
	}
	short.stop()
	return judgeEnds(f, endedHosts(f), short), nil
}

// movedRound lets one engine leave twice.
func movedRound(f *fleet, round int) error {
	prefix := fmt.Sprintf("brief-%d", round)
	long := startStreams(f, longStreams, request{id: prefix, route: "brief", in: 800, out: 1600, deadline: 39 * time.Second})
	defer long.stop()
	time.Sleep(4 * time.Second) // the hosts keep copies of the streams at other engines
	source := busiest(f.engines, prefix)
	f.record.say("round %d: engine %s serves %d long streams", round, source.id, source.running(prefix))
	if err := loseEntry(f, source); err != nil {
		return err
	}
	f.record.add("engine %s is to be taken away", source.id)
	if err := f.register(source, "draining"); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	source.crash() // it has been taken away
	if err := f.expire(source); err != nil {
		return err
	}
	_, err := f.startEngine(fmt.Sprintf("i-%d", movedEngines+round+1), source.zone) // the next round has as many engines
	return err
}

// loseEntry partitions an engine from the store for a while, in which its entry expires and part of its
// requests fail. Without the disruption it only waits as long.
func loseEntry(f *fleet, e *engine) error {
	const calm = time.Second
	if !trouble() {
		time.Sleep(3*heartbeat - failingLead + failingFor + calm)
		return nil
	}
	f.record.add("engine %s is partitioned from the store for %v", e.id, cutFor)
	time.Sleep(3*heartbeat - failingLead)
	e.failing.Store(true)
	f.record.add("engine %s resets %.0f %% of its requests for %v", e.id, 100*failingShare, failingFor)
	time.Sleep(failingLead)
	if err := f.expire(e); err != nil {
		return err
	}
	time.Sleep(cutFor - 3*heartbeat)
	if err := f.register(e, "ready"); err != nil {
		return err
	}
	time.Sleep(failingFor - failingLead - (cutFor - 3*heartbeat))
	e.failing.Store(false)
	time.Sleep(calm)
	return nil
}

// startDeployment starts engines and hosts.
func startDeployment(f *fleet, hosts, count int) error {
	if err := f.configure(); err != nil {
		return err
	}
	for i := range count {
		if _, err := f.startEngine(fmt.Sprintf("i-%d", i+1), zoneOf(i)); err != nil {
			return err
		}
	}
	return f.startHosts(hosts)
}

// busiest returns the engine with most runs whose ID begins with prefix.
func busiest(s *engines, prefix string) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.all[0]
	for _, e := range s.all {
		if e.running(prefix) > best.running(prefix) {
			best = e
		}
	}
	return best
}

// endedHosts returns the hosts whose processes have ended by themselves.
func endedHosts(f *fleet) (ended []*hostProcess) {
	for _, h := range f.hosts {
		if !h.running() {
			ended = append(ended, h)
		}
	}
	return ended
}

// judgeEnds reports whether more requests of kept connections than the rule allows were passed on to a sound
// engine and closed without an answer by one process.
func judgeEnds(f *fleet, ended []*hostProcess, short *crowd) bool {
	wasBroken := false
	for _, h := range f.hosts {
		unanswered := 0
		for id, a := range short.answers {
			if strings.Contains(id, "-"+h.name+"-") && a.kept && a.status == 0 && a.err != nil && begunAtAny(f.engines, id) {
				unanswered++
			}
		}
		f.record.say("%s: %d requests of kept connections reached a sound engine and got no answer; the process ended by itself: %v", h.name, unanswered, !h.running())
		wasBroken = wasBroken || unanswered > maxUnanswered
	}
	for _, h := range ended {
		f.record.say("%s ended with %s; its last lines:\n%s", h.name, h.state, lastWords(h.log))
	}
	return wasBroken
}

// begunAtAny reports whether an engine has begun a request.
func begunAtAny(s *engines, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if e.began(id) {
			return true
		}
	}
	return false
}

// lastWords returns the lines of a log from the panic on, at most twelve.
func lastWords(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	_, after, found := strings.Cut(string(text), "panic: ")
	if !found {
		return "no panic in its log"
	}
	lines := strings.Split("panic: "+after, "\n")
	return strings.Join(lines[:min(12, len(lines))], "\n")
}

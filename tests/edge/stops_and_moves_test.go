package edge_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

var (
	stopsSeed = flag.Uint64("stops.seed", 1, "seed of TestStopsBesideLeavingEnginesLoseNoStream")
	stopsFor  = flag.Duration("stops.for", 12*time.Second, "time in which TestStopsBesideLeavingEnginesLoseNoStream sends streams")
)

const (
	stopsGrace       = 8 * time.Second
	stopsEngines     = 12
	stopsHosts       = 6
	stopsDomains     = 3
	streamsPerSecond = 4.64
	meanEvents       = 232
	eventsSpread     = 0.84 // standard deviation of the logarithm
	maxEvents        = 549
	promptTokens     = 3000
	eventInterval    = 32 * time.Millisecond
	leaveInterval    = 3300 * time.Millisecond
	leavingAtOnce    = 2 // of the engines
	noticePeriod     = 1800 * time.Millisecond
	maxLinger        = 1500 * time.Millisecond
	stopInterval     = 2300 * time.Millisecond
	timePerToken     = 55 * time.Microsecond // 262,144 bytes at 38 Gbit/s
	// rotationDelay is how long callers are still sent to a host that stops.
	rotationDelay = 2 * time.Second
	// lateSend is how long after a stop a stream may be sent that the end of the process cuts.
	lateSend = 3 * time.Second
)

// movedStream is one caller's stream and how it ended.
type movedStream struct {
	id          string
	host        *stoppingHost
	sent, ended time.Time
	complete    bool
}

type stoppingHost struct {
	*host
	stopped time.Time // 0 while it runs
	ended   bool
}

// stopsRun is one play of TestStopsBesideLeavingEnginesLoseNoStream.
type stopsRun struct {
	t       *testing.T
	f       *fleet
	random  *rand.Rand
	set     *standin.Engines
	engines []*standin.Engine // that don't leave
	all     []*standin.Engine
	hosts   []*stoppingHost
	wait    sync.WaitGroup

	mu      sync.Mutex
	exits   map[string]time.Time // guarded by mu; by engine
	streams []*movedStream       // guarded by mu
}

func newStopsRun(t *testing.T) *stopsRun {
	r := &stopsRun{t: t, f: newFleet(t), random: rand.New(rand.NewPCG(*stopsSeed, 1)), set: standin.NewEngines(), exits: map[string]time.Time{}}
	r.f.grace, r.f.routeTimeout = stopsGrace, 39*time.Second
	r.f.configure()
	r.set.SetEventInterval(func(string, int) time.Duration { return eventInterval })
	r.set.SetLink(standin.Link{Setup: 330 * time.Microsecond, PerToken: timePerToken, TokensPerEvent: 4,
		Domain: func(engine string) string { return fmt.Sprint(len(engine), engine[len(engine)-1]%stopsDomains) }})
	for range stopsEngines {
		r.startEngine()
	}
	for range stopsHosts {
		r.startHost()
	}
	return r
}

func (r *stopsRun) startEngine() {
	e := r.f.startEngine(r.set, fmt.Sprintf("e-%d", len(r.all)+1))
	r.engines, r.all = append(r.engines, e), append(r.all, e)
}

func (r *stopsRun) startHost() { r.hosts = append(r.hosts, &stoppingHost{host: r.f.startHost()}) }

// send sends a stream to a host that runs or has just been asked to stop.
func (r *stopsRun) send() {
	var reachable []*stoppingHost
	for _, h := range r.hosts {
		if !h.ended && (h.stopped.IsZero() || time.Since(h.stopped) < rotationDelay) {
			reachable = append(reachable, h)
		}
	}
	events := min(maxEvents, int(meanEvents*math.Exp(eventsSpread*r.random.NormFloat64()-eventsSpread*eventsSpread/2))+1)
	s := &movedStream{id: fmt.Sprintf("r-%d", len(r.streams)+1), host: reachable[r.random.IntN(len(reachable))], sent: time.Now()}
	request := generationRequest(context.Background(), s.host.host, s.id, events)
	request.Header.Set(headers.TokenUsage, fmt.Sprintf("%d,%d", promptTokens, 4*events))
	standin.SetDeadline(request, r.f.routeTimeout)
	r.mu.Lock()
	r.streams = append(r.streams, s)
	r.mu.Unlock()
	r.wait.Go(func() {
		a := send(request)
		s.ended = time.Now()
		s.complete = a.err == nil && (a.status != http.StatusOK || a.body == standin.StreamText(s.id, events))
	})
}

// leaveEngines announces that engines leave, which others replace.
func (r *stopsRun) leaveEngines() {
	for range leavingAtOnce {
		i := r.random.IntN(len(r.engines))
		e := r.engines[i]
		r.engines = append(r.engines[:i], r.engines[i+1:]...)
		r.f.register(e.ID, engineService, e.Address(), "draining")
		serves := noticePeriod + time.Duration(r.random.Float64()*float64(maxLinger))
		time.AfterFunc(serves, func() {
			r.mu.Lock()
			r.exits[e.ID] = time.Now()
			r.mu.Unlock()
			e.Crash()
		})
		r.startEngine()
	}
}

// stopHost stops the host that has run for longest.
func (r *stopsRun) stopHost() {
	for _, h := range r.hosts {
		if !h.stopped.IsZero() {
			continue
		}
		h.stopped = time.Now()
		h.stop()
		return
	}
}

// replaceHosts starts a host for each one whose process has ended.
func (r *stopsRun) replaceHosts() {
	for _, h := range r.hosts {
		if h.stopped.IsZero() || h.ended {
			continue
		}
		select {
		case err := <-h.done:
			h.done <- err
			h.ended = true
			r.startHost()
		default:
		}
	}
}

func (r *stopsRun) play() {
	began := time.Now()
	var sent, left, stopped int
	for time.Since(began) < *stopsFor {
		elapsed := time.Since(began)
		for ; float64(sent) < elapsed.Seconds()*streamsPerSecond; sent++ {
			r.send()
		}
		if elapsed > time.Duration(left+1)*leaveInterval {
			left++
			r.leaveEngines()
		}
		if elapsed > time.Duration(stopped+1)*stopInterval {
			stopped++
			r.stopHost()
		}
		r.replaceHosts()
		time.Sleep(checkInterval)
	}
	r.wait.Wait()
}

// violation says how a stream that was cut breaks the platform's rule, "" if it does not.
func (r *stopsRun) violation(s *movedStream) string {
	worked, engine := time.Time{}, ""
	for _, e := range r.all {
		for _, span := range e.Spans() {
			if span.ID == s.id && span.To.After(worked) {
				worked, engine = span.To, e.ID
			}
		}
	}
	if worked.IsZero() {
		return ""
	}
	const noticed = 100 * time.Millisecond // within which an engine notices the end of its process or caller
	if exit, exited := r.exits[engine]; exited && !worked.Before(exit) && worked.Sub(exit) < noticed {
		return "" // the engine broke off
	}
	stop := s.host.stopped
	switch {
	case stop.IsZero() || s.ended.Before(stop):
		return fmt.Sprintf("cut %v after its engine %s had stopped, at a host that runs", s.ended.Sub(worked), engine)
	case s.sent.Sub(stop) <= lateSend && worked.Sub(stop) >= stopsGrace*5/6:
		return ""
	}
	return fmt.Sprintf("sent %v, cut %v after the stop of its host, its engine %s worked until %v", s.sent.Sub(stop), s.ended.Sub(stop), engine, worked.Sub(stop))
}

func TestStopsBesideLeavingEnginesLoseNoStream(t *testing.T) {
	t.Parallel()
	r := newStopsRun(t)
	r.play()
	time.Sleep(200 * time.Millisecond) // for engines that notice that their callers have left
	r.mu.Lock()
	defer r.mu.Unlock()
	cut, lost := 0, 0
	for _, s := range r.streams {
		if s.complete {
			continue
		}
		cut++
		if v := r.violation(s); v != "" {
			lost++
			t.Errorf("%s lost: %s\n%s", s.id, v, strings.Join(linesOf(s.host.logs.String(), s.id), "\n"))
		}
	}
	finals := 0
	for _, h := range r.hosts {
		finals += strings.Count(h.logs.String(), "migration: final copy")
	}
	t.Logf("%d streams, %d cut, %d lost; %d final copies", len(r.streams), cut, lost, finals)
	require.Positive(t, finals)
}

// linesOf returns the lines of a log that are about a request.
func linesOf(log, request string) []string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"request":"`+request+`"`) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// Plain calls of the users' site nav-leitstelle.
const (
	siteIdempotentRate    = 12.7 // calls a second
	siteNonIdempotentRate = 31.9
	siteDeadline          = 1500 * time.Millisecond
	siteFailures          = 14 // percentage of idempotent calls that their target answers with 500
	siteWork              = 15 * time.Millisecond
	siteWorkSpread        = 0.5 // of the logarithm
	siteSlots             = 30  // calls that a target accepts at once, waiting ones included
)

const (
	siteDisturbance   = 24 * time.Second
	burstFactor       = 1.7 // of all rates
	eagerCallers      = 30  // percentage of callers that repeat a call eagerRepeats times
	eagerRepeats      = 3
	failingFor        = 7 * time.Second // all targets
	soundFor          = 3 * time.Second
	serviceMoveEvery  = 4 * time.Second
	targetCrashEvery  = 3 * time.Second
	greyTargetEvery   = 5 * time.Second
	greyResets        = 45 // percentage of the calls to a grey target
	replacementPause  = 300 * time.Millisecond
	deadlineTolerance = 500 * time.Millisecond
)

// TestRestartsBesideMovedRoutesKeepTheRetryBudget sends calls at the rates of the users' site,
// beside failing, crashing and replaced targets, while a route moves between services.
func TestRestartsBesideMovedRoutesKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := startSiteFleet(t)
	time.Sleep(budgetLead)
	ended := make(chan struct{})
	var disturbances sync.WaitGroup
	for n, disturb := range []func(*rand.Rand){f.moveRoute, f.crashTarget, f.makeGrey, f.release, f.failTargets} {
		random := rand.New(rand.NewPCG(*seed, uint64(20+n)))
		disturbances.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					disturb(random)
				}
			}
		})
	}
	for until := time.Now().Add(siteDisturbance); time.Now().Before(until); {
		f.inSeries(f.stop)
	}
	close(ended)
	disturbances.Wait()
	f.stopCalls()
	f.check()
}

// siteFleet is a fleet under the plain calls of the users' site.
type siteFleet struct {
	*retriedFleet

	routed  []routedService // of the route "check"
	grey    sync.Map        // ids of targets that reset part of their calls
	failing atomic.Bool     // all targets fail
}

// routedService is the service of a route from a version of the configuration on.
type routedService struct {
	service string
	from    time.Time
}

func startSiteFleet(t *testing.T) *siteFleet {
	f := &siteFleet{retriedFleet: &retriedFleet{cluster: newCluster(t, *seed, budgetHosts, withBudgetBounds(t)), taken: make(map[*host]*atomic.Bool), stopped: make(chan struct{})}}
	for _, service := range f.services() {
		for _, target := range f.activeTargets(service) {
			f.serve(target)
		}
	}
	for len(f.activeTargets(switchService(0))) < plainTargetCount {
		f.addServing(switchService(0))
	}
	f.route(plainService)
	for _, h := range f.hosts {
		f.taken[h] = &atomic.Bool{}
		f.calls.Go(func() { f.probe(h) })
	}
	f.calls.Go(func() { f.callAndRepeat("check", http.MethodGet, burstFactor*siteIdempotentRate) })
	f.calls.Go(func() { f.callAndRepeat("hold", http.MethodPost, burstFactor*siteNonIdempotentRate) })
	return f
}

func (f *siteFleet) services() []string { return []string{plainService, switchService(0)} }

// route writes a configuration that routes "check" to a service.
func (f *siteFleet) route(service string) {
	config := standin.Configuration{Version: len(f.routed) + 2, Timeout: budgetTimeout, EngineService: engineService, PlainServices: f.services(), Account: clientAccount, Keys: f.keys,
		Routes: []standin.Route{
			{Name: "hold", Kind: standin.NonIdempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: 1},
			{Name: "check", Kind: standin.Idempotent, Service: service, Objective: 100 * time.Millisecond, Attempts: 2},
		}}
	raw, err := config.Encode()
	require.NoError(f.t, err)
	f.routed = append(f.routed, routedService{service, time.Now()})
	f.put(platform.ConfigurationKey, raw)
}

func (f *siteFleet) addServing(service string) {
	f.addPlainTarget(service)
	f.mu.Lock()
	target := f.targets[len(f.targets)-1]
	f.mu.Unlock()
	f.serve(target)
}

// serve makes a target work on its calls, and fail part of the idempotent ones.
func (f *siteFleet) serve(t *target) {
	var accepted atomic.Int32
	t.plain.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if accepted.Add(1) > siteSlots {
			accepted.Add(-1)
			standin.Reject(w, r)
			return
		}
		defer accepted.Add(-1)
		time.Sleep(time.Duration(float64(siteWork) * math.Exp(rand.NormFloat64()*siteWorkSpread)))
		if f.failing.Load() {
			answerBadly(w, r)
			return
		}
		if _, grey := f.grey.Load(t.id); grey && rand.IntN(100) < greyResets {
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodGet && rand.IntN(100) < siteFailures {
			standin.Fail(w, r)
			return
		}
		standin.Succeed(w, r)
	})
}

// callAndRepeat sends calls at the given rate to random hosts. Those that fail are sent again, as
// new requests.
func (f *siteFleet) callAndRepeat(route, method string, perSecond float64) {
	random := rand.New(rand.NewPCG(*seed, uint64(len(route))))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
		}
		repeats := 1
		if random.IntN(100) < eagerCallers {
			repeats = eagerRepeats
		}
		var hosts []*host
		for range 1 + repeats {
			if h := f.pick(random); h != nil {
				hosts = append(hosts, h)
			}
		}
		f.calls.Go(func() {
			for i, h := range hosts {
				again, after := f.sendOnce(&outcome{id: fmt.Sprintf("%s-%d-%d", route, n, i), route: route, host: h, key: "key-1"}, method)
				if !again {
					return
				}
				time.Sleep(after)
			}
		})
	}
}

// sendOnce sends a call and reports whether and when its caller sends it again.
func (f *siteFleet) sendOnce(o *outcome, method string) (again bool, after time.Duration) {
	o.sendWithin(http.DefaultClient, method, siteDeadline)
	f.sentMu.Lock()
	f.sent = append(f.sent, *o)
	f.sentMu.Unlock()
	seconds, _ := strconv.ParseFloat(o.retryAfter, 64)
	return o.err != nil && method == http.MethodGet || o.status >= http.StatusInternalServerError || o.status == http.StatusTooManyRequests,
		time.Duration(seconds * float64(time.Second))
}

// pick returns a random host that callers use, nil if there is none.
func (f *siteFleet) pick(random *rand.Rand) *host {
	var open []*host
	for _, h := range f.hosts {
		if f.taken[h].Load() {
			open = append(open, h)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[random.IntN(len(open))]
}

// moveRoute moves the idempotent route to the other service.
func (f *siteFleet) moveRoute(*rand.Rand) {
	time.Sleep(serviceMoveEvery)
	f.route(f.services()[len(f.routed)%2])
}

func (f *siteFleet) randomTarget(random *rand.Rand) *target {
	active := f.activeTargets(f.services()[random.IntN(2)])
	if len(active) < 2 {
		return nil
	}
	return active[random.IntN(len(active))]
}

// crashTarget ends a target, which another one replaces.
func (f *siteFleet) crashTarget(random *rand.Rand) {
	time.Sleep(targetCrashEvery)
	if t := f.randomTarget(random); t != nil {
		f.removeTarget(t)
		time.Sleep(replacementPause)
		f.addServing(t.service)
	}
}

// makeGrey makes a target reset part of its calls for a while.
func (f *siteFleet) makeGrey(random *rand.Rand) {
	if t := f.randomTarget(random); t != nil {
		f.grey.Store(t.id, true)
		defer f.grey.Delete(t.id)
	}
	time.Sleep(greyTargetEvery)
}

// failTargets makes all targets fail for a while.
func (f *siteFleet) failTargets(*rand.Rand) {
	f.failing.Store(true)
	time.Sleep(failingFor)
	f.failing.Store(false)
	time.Sleep(soundFor)
}

// release replaces the targets of a service one after the other.
func (f *siteFleet) release(random *rand.Rand) {
	for _, t := range f.activeTargets(f.services()[random.IntN(2)]) {
		f.mu.Lock()
		removed := t.removed
		f.mu.Unlock()
		if removed {
			continue
		}
		f.addServing(t.service)
		f.calls.Go(func() { f.retireTarget(t) })
		time.Sleep(releaseStepPause)
	}
}

// check checks the repeats at each service, the targets of each call and the time that they were
// given.
func (f *siteFleet) check() {
	calls := make(map[string]*outcome)
	for i := range f.sent {
		calls[f.sent[i].id] = &f.sent[i]
	}
	arrivals := f.arrivals(calls)
	for _, service := range f.services() {
		f.checkService(service, arrivals)
	}
	f.checkAttempts(arrivals)
	f.checkDeadlines(arrivals)
}

// callArrival is a call's arrival at a target.
type callArrival struct {
	standin.ReceivedRequest
	target *target
	call   *outcome
}

// arrivals returns the arrivals of each call in their order.
func (f *siteFleet) arrivals(calls map[string]*outcome) map[string][]callArrival {
	out := make(map[string][]callArrival)
	for _, t := range f.targets {
		if t.plain == nil {
			continue
		}
		for _, a := range t.plain.Requests() {
			if o := calls[a.ID()]; o != nil {
				out[a.ID()] = append(out[a.ID()], callArrival{a, t, o})
			}
		}
	}
	for _, all := range out {
		slices.SortFunc(all, func(a, b callArrival) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	}
	return out
}

// mayBeRouted reports whether a call that was sent at the given time may be routed to a service.
func (f *siteFleet) mayBeRouted(o *outcome, service string) bool {
	if o.route == "hold" {
		return service == plainService
	}
	for i, r := range f.routed {
		next := time.Now()
		if i+1 < len(f.routed) {
			next = f.routed[i+1].from
		}
		if r.service == service && o.sent.Add(siteDeadline).After(r.from) && o.sent.Before(next.Add(applyBound)) {
			return true
		}
	}
	return false
}

// checkService checks the repeats at a service in every window against the published bound.
func (f *siteFleet) checkService(service string, arrivals map[string][]callArrival) {
	var sent []time.Time
	for i := range f.sent {
		if f.mayBeRouted(&f.sent[i], service) {
			sent = append(sent, f.sent[i].sent)
		}
	}
	var repeats []repeat
	for _, all := range arrivals {
		for _, a := range all[1:] {
			if a.target.service == service {
				repeats = append(repeats, repeat{at: a.ReceivedAt, call: a.call})
			}
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeats, func(a, b repeat) int { return a.at.Compare(b.at) })
	end, bound := worstWindow(repeats, sent)
	within := inWindow(repeats, end)
	f.t.Logf("SUM %s: %d calls, %d repeats; worst window %d of %.1f", service, len(sent), len(repeats), len(within), bound)
	if float64(len(within)) > bound {
		f.t.Errorf("retry budget of %s: %d repeats in the window that ends at %s, %.1f are allowed", service, len(within), end.Format(timeLayout), bound)
	}
}

// checkAttempts counts the calls that ran on more targets than their route allows. Targets that
// ended don't count.
func (f *siteFleet) checkAttempts(arrivals map[string][]callArrival) {
	most := map[string]int{"hold": 1, "check": 2}
	var beyond []string
	for id, all := range arrivals {
		ran := make(map[*target]bool)
		for _, a := range all {
			if !a.target.removed && a.ExpectedTarget() == a.target.id {
				ran[a.target] = true
			}
		}
		if len(ran) > most[all[0].call.route] {
			beyond = append(beyond, id)
		}
	}
	f.t.Logf("SUM %d calls reached more targets than their route's attempts", len(beyond))
	if len(beyond) > 3 {
		f.t.Errorf("attempts: %s", strings.Join(beyond, ", "))
	}
}

// checkDeadlines counts the arrivals that state more time than their caller had left.
func (f *siteFleet) checkDeadlines(arrivals map[string][]callArrival) {
	missing, longer, late, lateLonger := 0, 0, 0, 0
	for _, all := range arrivals {
		first := all[0].ReceivedAt.Add(all[0].deadline())
		for n, a := range all {
			left := a.deadline()
			ends, callerEnds := a.ReceivedAt.Add(left), a.call.sent.Add(siteDeadline)
			switch again := n > 0 && a.ReceivedAt.Sub(all[0].ReceivedAt) > deadlineTolerance; {
			case a.Header.Get(headers.Deadline) == "":
				missing++
			case left > siteDeadline+deadlineTolerance:
				longer++
			case again && ends.After(first.Add(deadlineTolerance)) && ends.After(callerEnds.Add(deadlineTolerance)):
				late++
				lateLonger++
			case again:
				late++
			}
		}
	}
	f.t.Logf("SUM deadlines: %d missing, %d too long; sent again late %d, %d of them too long", missing, longer, late, lateLonger)
	if bad := missing + longer + lateLonger; bad > 20 && 5*bad > late {
		f.t.Errorf("%d arrivals state more time than is left", bad)
	}
}

// deadline returns the time that an arrival states.
func (a *callArrival) deadline() time.Duration {
	left, _ := strconv.Atoi(a.Header.Get(headers.Deadline))
	return time.Duration(left) * time.Millisecond
}

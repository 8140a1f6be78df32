package soak

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// budgetDeployment is what the users' deployments differ in as to the retry budget.
type budgetDeployment struct {
	name         string
	hosts, slack int
	callTimeout  time.Duration // of plain routes; 0 for none
	callDeadline time.Duration // of plain calls
}

var budgetDeployments = []budgetDeployment{
	{"bms-plavby", 6, 52, 0, time.Second},
	{"nav-leitstelle", 8, 56, 800 * time.Millisecond, 1500 * time.Millisecond},
}

// Requests of both deployments.
const (
	draftRate      = 4.65 // a second over the fleet
	summaryRate    = 6.46
	holdRate       = 31.9
	checkRate      = 12.7
	poisonInterval = 700 * time.Millisecond
	draftDeadline  = 39 * time.Second
	briefDeadline  = 6 * time.Second
	errorShare     = 14 // percent of the idempotent calls that get the target's own error

	ruleEngines  = 12
	deskSlots    = 6
	deskQueue    = 24
	deskWork     = 15 * time.Millisecond
	deskSlowness = 30 // factor of deskWork while the targets are slow
	deskPause    = time.Second
	deskAbsence  = 2500 * time.Millisecond // from a crash to the next incarnation
	entryExpiry  = 3 * heartbeatInterval

	engineRetireInterval = 3300 * time.Millisecond
	rollGap              = 1200 * time.Millisecond
	rolls                = 2
	slowPhase            = 5 * time.Second
	poisonBody           = "crashes plain targets"
)

// Bounds of the rules.
const (
	maxOverAttempted  = 3
	maxLateDeadlines  = 20
	deadlineTolerance = 500 * time.Millisecond
	crashesToLearn    = 3
	maxLaterSends     = 3
	pauseTolerance    = 500 * time.Millisecond
	maxInPause        = 2
)

// TestRepeatsOfRealProcessesKeepTheBudgetRules plays restarts in series, targets that are slow,
// pause, crash and leave, and callers that come again, at the numbers of the users' deployments.
func TestRepeatsOfRealProcessesKeepTheBudgetRules(t *testing.T) {
	if !*allRestarts {
		t.Skip("long; started by hand with -all-restarts")
	}
	for _, d := range budgetDeployments {
		for name, crashing := range map[string]bool{"slow targets": false, "a request that crashes targets": true} {
			t.Run(d.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				startRuledFleet(t, d).play(crashing)
			})
		}
	}
}

// ruledFleet is a fleet whose arrivals at targets are judged by all rules of the retry budget.
type ruledFleet struct {
	*retriedFleet
	deployment budgetDeployment
	slow       atomic.Bool
	attempts   map[string]int // of requests, by route
	ids        atomic.Int64

	deskMu  sync.Mutex
	runs    map[string]map[string]bool // guarded by deskMu; targets that ran a request, by id
	pauses  []pauseAnswer              // guarded by deskMu
	poison  map[string]*poisonRecord   // guarded by deskMu; by route
	crashed map[string]bool            // guarded by deskMu; targets
}

// pauseAnswer is a rejection by which a target asked a host for a pause.
type pauseAnswer struct {
	target, id string
	at         time.Time
}

// poisonRecord is what a request that crashes targets did.
type poisonRecord struct{ reached, crashed []time.Time }

func startRuledFleet(t *testing.T, d budgetDeployment) *ruledFleet {
	s := site{grace: budgetGrace, revoke: 5 * time.Second, apply: 2 * time.Second, retrySlack: d.slack}
	f := &ruledFleet{deployment: d, runs: make(map[string]map[string]bool), poison: make(map[string]*poisonRecord), crashed: make(map[string]bool),
		attempts: map[string]int{"draft": 1, "hold": 1, "check": 2}}
	c := newClusterAt(t, s, *seed, d.hosts)
	f.retriedFleet = &retriedFleet{cluster: c, taken: make(map[*host]*atomic.Bool), stopped: make(chan struct{})}
	for range ruleEngines - engineCount {
		c.addEngine()
	}
	c.engines.SetEventInterval(modelPace)
	for _, target := range f.activeTargets(plainService) {
		target.plain.SetHandler(f.newDesk(target))
	}
	config := standin.Configuration{Version: 2, EngineService: engineService, PlainServices: []string{plainService}, Account: clientAccount, Keys: f.keys,
		Routes: []standin.Route{
			{Name: "draft", Kind: standin.Streaming, Service: engineService, Objective: 1800 * time.Millisecond, Attempts: f.attempts["draft"], Timeout: draftDeadline},
			{Name: "hold", Kind: standin.NonIdempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: f.attempts["hold"], Timeout: d.callTimeout},
			{Name: "check", Kind: standin.Idempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: f.attempts["check"], Timeout: d.callTimeout},
		}}
	raw, err := config.Encode()
	require.NoError(t, err)
	f.put(platform.ConfigurationKey, raw)
	for _, h := range f.hosts {
		f.taken[h] = &atomic.Bool{}
		f.calls.Go(func() { f.probe(h) })
	}
	return f
}

func (f *ruledFleet) addDesk() {
	f.add(plainService, func(id string, t *target) string {
		t.plain = standin.StartPlainTarget(id, listen(f.t))
		t.plain.SetHandler(f.newDesk(t))
		f.t.Cleanup(t.plain.Close)
		return t.plain.Address()
	})
}

// newDesk returns the handler of a plain target with slots and a queue, which asks for a pause
// once the queue is full.
func (f *ruledFleet) newDesk(t *target) http.HandlerFunc {
	slots := make(chan struct{}, deskSlots)
	var waiting atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		id, route := r.Header.Get(headers.RequestID), routeOf(r)
		body, _ := io.ReadAll(r.Body)
		if string(body) == poisonBody {
			f.crashByPoison(t, route)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if waiting.Add(1) > deskSlots+deskQueue {
			waiting.Add(-1)
			f.deskMu.Lock()
			f.pauses = append(f.pauses, pauseAnswer{t.id, id, time.Now()})
			f.deskMu.Unlock()
			w.Header().Set(headers.RequestID, id)
			w.Header().Set(headers.RetryAfter, strconv.FormatFloat(deskPause.Seconds(), 'f', 1, 64))
			standin.Reject(w, r)
			return
		}
		defer waiting.Add(-1)
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		defer func() { <-slots }()
		f.deskMu.Lock()
		if f.runs[id] == nil {
			f.runs[id] = make(map[string]bool)
		}
		f.runs[id][t.id] = true
		f.deskMu.Unlock()
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(id + t.id))
		work := deskWork
		if f.slow.Load() {
			work *= deskSlowness
		}
		time.Sleep(work/2 + work*time.Duration(hash.Sum32()%100)/100)
		if route == "check" && int(hash.Sum32()%100) < errorShare {
			standin.Fail(w, r)
			return
		}
		standin.Succeed(w, r)
	}
}

func routeOf(r *http.Request) string {
	name, _, _ := bytes.Cut([]byte(r.URL.Path[1:]), []byte("/"))
	return string(name)
}

// crashByPoison ends a target as a crash does. Another incarnation takes its place later.
func (f *ruledFleet) crashByPoison(t *target, route string) {
	now := time.Now()
	f.deskMu.Lock()
	if f.poison[route] == nil {
		f.poison[route] = &poisonRecord{}
	}
	f.poison[route].reached = append(f.poison[route].reached, now)
	first := !f.crashed[t.id]
	f.crashed[t.id] = true
	if first {
		f.poison[route].crashed = append(f.poison[route].crashed, now)
	}
	f.deskMu.Unlock()
	if !first {
		return
	}
	f.mu.Lock()
	t.removed, t.removedAt = true, now
	f.mu.Unlock()
	f.calls.Go(func() {
		t.proxy.StopListening()
		t.plain.Close()
		t.cutConnections()
		time.Sleep(deskAbsence)
		f.addDesk()
		time.Sleep(entryExpiry - deskAbsence)
		f.remove(platform.TargetPrefix + t.id)
	})
}

// play sends requests, disturbs the fleet and judges what targets have seen. If crashing
// is set, requests that crash targets come too.
func (f *ruledFleet) play(crashing bool) {
	f.calls.Go(func() { f.sendAt(draftRate, "draft", longStream, draftDeadline) })
	f.calls.Go(func() { f.sendAt(summaryRate, "draft", shortStream, briefDeadline) })
	f.calls.Go(func() { f.sendAt(holdRate, "hold", 0, f.deployment.callDeadline) })
	f.calls.Go(func() { f.sendAt(checkRate, "check", 0, f.deployment.callDeadline) })
	time.Sleep(budgetLead)
	f.calls.Go(f.retireEngines)
	if crashing {
		f.calls.Go(f.sendPoison)
	}
	for range rolls {
		f.roll()
	}
	f.stopCalls()
	f.judge()
}

// roll restarts all hosts in series while the plain targets are slow at times.
func (f *ruledFleet) roll() {
	var restarts sync.WaitGroup
	restarts.Go(func() {
		time.Sleep(between(f.seeded(7), 0, 3*time.Second))
		f.slow.Store(true)
		time.Sleep(slowPhase)
		f.slow.Store(false)
	})
	for _, n := range f.random.Perm(len(f.hosts)) {
		h, other, crash := f.hosts[n], f.hosts[f.random.IntN(len(f.hosts))], f.random.IntN(4) == 0
		restarts.Go(func() {
			if crash {
				f.crash(h)
			} else {
				f.stop(h)
			}
		})
		time.Sleep(between(f.random, rollGap/2, rollGap*3/2))
		if f.random.IntN(2) == 0 {
			restarts.Go(func() { f.reloadSettings(other) })
		}
	}
	restarts.Wait()
	time.Sleep(afterRestarts)
}

func (f *ruledFleet) seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(*seed, n)) }

// retireEngines replaces two engines at a time.
func (f *ruledFleet) retireEngines() {
	random := f.seeded(8)
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(engineRetireInterval):
		}
		engines := f.activeTargets(engineService)
		for _, n := range random.Perm(len(engines))[:2] {
			f.addEngine()
			f.calls.Go(func() { f.retireTarget(engines[n]) })
		}
	}
}

// sendPoison lets the requests that crash targets come again at any host.
func (f *ruledFleet) sendPoison() {
	random := f.seeded(9)
	for n := 0; ; n++ {
		select {
		case <-f.stopped:
			return
		case <-time.After(poisonInterval):
		}
		if h := f.openHost(random); h != nil {
			o := outcome{id: fmt.Sprintf("poison-%d", n), route: []string{"hold", "check"}[n%2], host: h, key: "key-1"}
			f.calls.Go(func() {
				f.exchange(&o, f.deployment.callDeadline, poisonBody)
				f.record(&o)
			})
		}
	}
}

func (f *ruledFleet) openHost(random *rand.Rand) *host {
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

// sendAt sends requests at the given rate to random hosts. Each is sent once more, as another
// request, if its answer allows it and there is time left.
func (f *ruledFleet) sendAt(perSecond float64, route string, events int, deadline time.Duration) {
	random := f.seeded(uint64(perSecond * 100))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
		}
		first, second := f.openHost(random), f.openHost(random)
		if first == nil {
			continue
		}
		f.calls.Go(func() {
			began := time.Now()
			o := f.newOutcome(route, first, events)
			f.exchange(o, deadline, "content of "+o.id)
			f.record(o)
			left := deadline - time.Since(began)
			retryAfter, _ := strconv.ParseFloat(o.retryAfter, 64)
			wait := time.Duration(retryAfter * float64(time.Second))
			if !mayComeAgain(o) || wait > left/3 || left <= 0 {
				return
			}
			time.Sleep(wait)
			o = f.newOutcome(route, second, events)
			f.exchange(o, left-wait, "content of "+o.id)
			f.record(o)
		})
	}
}

func (f *ruledFleet) newOutcome(route string, h *host, events int) *outcome {
	return &outcome{id: fmt.Sprintf("%s-%d", route, f.ids.Add(1)), route: route, host: h, key: "key-1", events: events}
}

func (f *ruledFleet) record(o *outcome) {
	f.sentMu.Lock()
	defer f.sentMu.Unlock()
	f.sent = append(f.sent, *o)
}

// mayComeAgain reports whether callers send a request again after such an answer.
func mayComeAgain(o *outcome) bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	case http.StatusOK, http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
		return false
	}
	return o.route == "check"
}

// exchange sends a request and reads the answer until the caller's deadline.
func (f *ruledFleet) exchange(o *outcome, deadline time.Duration, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	method := http.MethodPost
	if o.route == "check" {
		method = http.MethodGet
	}
	r := o.request(ctx, method, deadline)
	r.Body = io.NopCloser(bytes.NewReader([]byte(body)))
	o.deadline = deadline
	o.sent = time.Now()
	defer func() { o.ended = time.Now() }()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		o.err = err
		return
	}
	o.read(response)
}

// targetArrival is a request that reached a target.
type targetArrival struct {
	at        time.Time
	target    string
	deadline  string // Deadline-Ms
	continues bool   // from a copy of its memory
}

// arrivals returns what reached the targets of a service, by request in the order of time.
func (f *ruledFleet) arrivals(service string, calls map[string]*outcome) map[string][]targetArrival {
	out := make(map[string][]targetArrival)
	add := func(target string, all []standin.ReceivedRequest) {
		for _, r := range all {
			if calls[r.ID()] != nil {
				out[r.ID()] = append(out[r.ID()], targetArrival{r.ReceivedAt, target, r.Header.Get(headers.Deadline), r.Header.Get(headers.ContinueFrom) != ""})
			}
		}
	}
	f.mu.Lock()
	targets := slices.Clone(f.targets)
	f.mu.Unlock()
	for _, t := range targets {
		switch {
		case t.service != service:
		case t.engine != nil:
			add(t.id, t.engine.Requests())
		default:
			add(t.id, t.plain.Requests())
		}
	}
	for _, all := range out {
		slices.SortFunc(all, func(a, b targetArrival) int { return a.at.Compare(b.at) })
	}
	return out
}

// judge checks all rules of the retry budget.
func (f *ruledFleet) judge() {
	calls := make(map[string]*outcome)
	for i := range f.sent {
		calls[f.sent[i].id] = &f.sent[i]
	}
	for _, service := range []string{plainService, engineService} {
		all := f.arrivals(service, calls)
		f.judgeWindows(service, all, calls)
		f.judgeDeadlines(service, all, calls)
	}
	f.judgeAttempts(calls)
	f.judgeCrashes()
	f.judgePauses(calls)
}

// judgeWindows checks the repeats in every window. Runs that continue from a copy count as the
// same run; how many there are is logged.
func (f *ruledFleet) judgeWindows(service string, all map[string][]targetArrival, calls map[string]*outcome) {
	var sent []time.Time
	for _, o := range calls {
		if (o.route == "draft") == (service == engineService) {
			sent = append(sent, o.sent)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	var repeats, continued []repeat
	for id, arrivals := range all {
		for _, a := range arrivals[1:] {
			if a.continues {
				continued = append(continued, repeat{at: a.at, call: calls[id]})
				continue
			}
			repeats = append(repeats, repeat{at: a.at, call: calls[id]})
		}
	}
	for kind, of := range map[string][]repeat{"repeats": repeats, "continuations": continued} {
		slices.SortFunc(of, func(a, b repeat) int { return a.at.Compare(b.at) })
		end, bound := worstWindow(of, sent, float64(f.deployment.slack))
		within := len(inWindow(of, end))
		f.t.Logf("%s: %d requests, %d %s; the window closest to its bound ends at %s: %d of %.1f", service, len(sent), len(of), kind, end.Format(timeLayout), within, bound)
		if kind == "repeats" && float64(within) > bound {
			f.t.Errorf("W: %s: %d repeats in the window that ends at %s, %.1f are allowed", service, within, end.Format(timeLayout), bound)
		}
	}
}

// judgeDeadlines checks the time that is handed on.
func (f *ruledFleet) judgeDeadlines(service string, all map[string][]targetArrival, calls map[string]*outcome) {
	wrong, lateRepeats := countLongDeadlines(all, calls)
	longest := time.Duration(0)
	for id, arrivals := range all {
		for _, a := range arrivals {
			longest = max(longest, a.end().Sub(calls[id].sent.Add(calls[id].deadline)))
		}
	}
	f.t.Logf("%s: %d deadlines too long, %d late repeats; a target's deadline ended %s after its caller's at most", service, wrong, lateRepeats, longest.Round(time.Millisecond))
	if wrong > maxLateDeadlines && 5*wrong > lateRepeats {
		f.t.Errorf("T: %s: %d deadlines that were handed on are too long", service, wrong)
	}
}

// end returns when the target gives the request up, the zero time if it was not told.
func (a targetArrival) end() time.Time {
	ms, err := strconv.ParseInt(a.deadline, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return a.at.Add(time.Duration(ms) * time.Millisecond)
}

// countLongDeadlines returns how many arrivals had no or too long a deadline, and how many were
// repeats that came late.
func countLongDeadlines(all map[string][]targetArrival, calls map[string]*outcome) (wrong, lateRepeats int) {
	for id, arrivals := range all {
		o, first := calls[id], arrivals[0]
		for _, a := range arrivals {
			late := a.at.Sub(first.at) > deadlineTolerance
			over := min(a.end().Sub(first.end()), a.end().Sub(o.sent.Add(o.deadline)))
			if late {
				lateRepeats++
			}
			if a.end().IsZero() || a.end().Sub(a.at) > o.deadline+deadlineTolerance || late && over > deadlineTolerance {
				wrong++
			}
		}
	}
	return wrong, lateRepeats
}

// judgeAttempts checks on how many targets one request of a caller ran.
func (f *ruledFleet) judgeAttempts(calls map[string]*outcome) {
	f.deskMu.Lock()
	over := f.countOverAttempted(f.runs, calls)
	f.deskMu.Unlock()
	started := make(map[string]map[string]bool)
	for _, t := range f.targets {
		if t.engine == nil {
			continue
		}
		for _, id := range t.engine.Started() {
			if started[id] == nil {
				started[id] = make(map[string]bool)
			}
			started[id][t.id] = true
		}
	}
	over += f.countOverAttempted(started, calls)
	f.t.Logf("%d requests ran on more targets than their attempts", over)
	if over > maxOverAttempted {
		f.t.Errorf("A: %d requests ran on more targets than their attempts", over)
	}
}

// countOverAttempted returns how many requests ran on more targets than their attempts. runs are
// the targets that ran a request, by id.
func (f *ruledFleet) countOverAttempted(runs map[string]map[string]bool, calls map[string]*outcome) (over int) {
	for id, targets := range runs {
		if o := calls[id]; o != nil && len(targets) > f.attempts[o.route] {
			over++
		}
	}
	return over
}

// judgeCrashes checks how often a request that crashes targets is sent once that is known.
func (f *ruledFleet) judgeCrashes() {
	f.deskMu.Lock()
	defer f.deskMu.Unlock()
	for route, p := range f.poison {
		later := 0
		for _, at := range p.reached {
			if len(p.crashed) >= crashesToLearn && at.After(p.crashed[crashesToLearn-1].Add(contactBound)) {
				later++
			}
		}
		f.t.Logf("%s: a request crashed %d targets, reached them %d times, %d times later than %s after the third", route, len(p.crashed), len(p.reached), later, contactBound)
		if later > maxLaterSends {
			f.t.Errorf("C: %s: a request that crashes targets was sent %d times later than %s after the third crash", route, later, contactBound)
		}
	}
}

// judgePauses checks how often a host sends to a target that wants a pause from it.
func (f *ruledFleet) judgePauses(calls map[string]*outcome) {
	plain := f.arrivals(plainService, calls)
	type sender struct {
		target string
		host   *host
	}
	sends := make(map[sender][]time.Time)
	for id, all := range plain {
		for _, a := range all {
			key := sender{a.target, calls[id].host}
			sends[key] = append(sends[key], a.at)
		}
	}
	most, broken := 0, 0
	for _, p := range f.pauses {
		o := calls[p.id]
		if o == nil || f.restartedWithin(o.host, p.at, p.at.Add(deskPause)) {
			continue
		}
		n := 0
		for _, at := range sends[sender{p.target, o.host}] {
			if at.After(p.at.Add(pauseTolerance)) && at.Before(p.at.Add(deskPause)) {
				n++
			}
		}
		most = max(most, n)
		if n > maxInPause {
			broken++
		}
	}
	f.t.Logf("%d answers asked for a pause; %d requests at most in one", len(f.pauses), most)
	if broken > 0 {
		f.t.Errorf("P: more than %d requests in %d pauses", maxInPause, broken)
	}
}

func (f *ruledFleet) restartedWithin(h *host, from, to time.Time) bool {
	return slices.ContainsFunc(h.startedAt, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// TestBudgetRulesDetectViolations tests the checks themselves.
func TestBudgetRulesDetectViolations(t *testing.T) {
	at := time.Now()
	calls := map[string]*outcome{"r": {id: "r", route: "check", sent: at, deadline: time.Second}}
	wrong := func(first, second string, after time.Duration) int {
		n, _ := countLongDeadlines(map[string][]targetArrival{"r": {{at: at, deadline: first}, {at: at.Add(after), deadline: second}}}, calls)
		return n
	}
	require.Equal(t, 0, wrong("1000", "400", 600*time.Millisecond))
	require.Equal(t, 1, wrong("1000", "1000", 600*time.Millisecond), "ends later than the first")
	require.Equal(t, 0, wrong("1000", "1000", 400*time.Millisecond), "not late")
	require.Equal(t, 1, wrong("1600", "400", 600*time.Millisecond), "longer than the caller's")
	require.Equal(t, 1, wrong("1000", "", 100*time.Millisecond), "none")
	f := &ruledFleet{attempts: map[string]int{"check": 2}}
	require.Equal(t, 0, f.countOverAttempted(map[string]map[string]bool{"r": {"a": true, "b": true}}, calls))
	require.Equal(t, 1, f.countOverAttempted(map[string]map[string]bool{"r": {"a": true, "b": true, "c": true}}, calls))
}

package soak

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// Bounds of the users' site nav-leitstelle.
const (
	budgetHosts  = 8
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetGrace  = 8 * time.Second
)

const (
	// budgetLead is how long calls succeed before the targets fail: longer than a window,
	// since a process might use its budget only then.
	budgetLead    = budgetWindow + time.Second
	failingLead   = 2 * time.Second        // from then to the first restart
	restartGap    = 700 * time.Millisecond // between restarts in series
	afterRestarts = 4 * time.Second
	budgetTimeout = 800 * time.Millisecond
	// slowAnswer is later than the hedge and earlier than the deadline.
	slowAnswer     = 300 * time.Millisecond
	hostListPrefix = "corianderhitch/hosts/"
	// probeInterval is how often the platform asks whether a host is ready.
	probeInterval = 500 * time.Millisecond
)

var (
	idempotentRate    = flag.Float64("idempotent", 30, "idempotent calls a second over the fleet, for the retry budget")
	nonIdempotentRate = flag.Float64("non-idempotent", 5, "the same for other calls")
	allRestarts       = flag.Bool("all-restarts", false, "also the slower cases of the retry budget")
)

// Restarts of a fleet whose targets fail must not let it repeat more calls than the
// published bound, whatever each host knows of the others meanwhile.
func TestRestartsKeepTheFleetsRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name    string
		always  bool // not only with -all-restarts
		disturb func(*retriedFleet)
	}{
		{"stopped in series", true, func(f *retriedFleet) { f.inSeries(f.stop) }},
		{"crashed in series", true, func(f *retriedFleet) { f.inSeries(f.crash) }},
		{"crashed in series, host list away", true, func(f *retriedFleet) {
			var away sync.WaitGroup
			away.Go(func() { f.storeFault(memstore.Fault{Outage: true, Prefix: hostListPrefix}, 9*time.Second) })
			f.inSeries(f.crash)
			away.Wait()
		}},
		{"crashed together", false, func(f *retriedFleet) { f.together(f.crash, func() {}) }},
		{"crashed together, store away", false, func(f *retriedFleet) {
			f.together(f.crash, func() {
				time.Sleep(500 * time.Millisecond)
				f.storeFault(memstore.Fault{Outage: true}, 4500*time.Millisecond)
			})
		}},
		{"crashed together, store slow", false, func(f *retriedFleet) {
			f.together(f.crash, func() { f.storeFault(memstore.Fault{RequestDelay: 300 * time.Millisecond}, 4500*time.Millisecond) })
		}},
		{"stopped together, host list old", false, func(f *retriedFleet) {
			f.together(f.stop, func() {
				f.store.OlderReads.Store(memstore.New(memstore.Options{}))
				time.Sleep(3 * time.Second)
				f.store.OlderReads.Store(nil)
			})
		}},
	} {
		if !c.always && !*allRestarts {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			if c.always {
				t.Parallel() // three fleets at most
			}
			f := startRetriedFleet(t)
			time.Sleep(budgetLead)
			for _, target := range f.activeTargets(plainService) {
				target.plain.SetHandler(answerBadly)
			}
			time.Sleep(failingLead)
			c.disturb(f)
			f.stopCalls()
			f.checkBudget()
		})
	}
}

// retriedFleet is a fleet under calls that are all repeated once its targets fail.
type retriedFleet struct {
	*cluster
	taken   map[*host]*atomic.Bool // by the platform, which sends callers there
	stopped chan struct{}
	calls   sync.WaitGroup

	sentMu sync.Mutex
	sent   []outcome // guarded by sentMu
}

func startRetriedFleet(t *testing.T) *retriedFleet {
	f := &retriedFleet{cluster: newCluster(t, *seed, budgetHosts, withBudgetBounds(t)), taken: make(map[*host]*atomic.Bool), stopped: make(chan struct{})}
	config := standin.Configuration{Version: 2, Timeout: budgetTimeout, EngineService: engineService, PlainServices: []string{plainService}, Account: clientAccount, Keys: f.keys,
		Routes: []standin.Route{
			{Name: "hold", Kind: standin.NonIdempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: 1},
			{Name: "check", Kind: standin.Idempotent, Service: plainService, Objective: 100 * time.Millisecond, Attempts: 2},
		}}
	raw, err := config.Encode()
	require.NoError(t, err)
	f.put(platform.ConfigurationKey, raw)
	for _, h := range f.hosts {
		f.taken[h] = &atomic.Bool{}
		f.calls.Go(func() { f.probe(h) })
	}
	f.calls.Go(func() { f.call("check", http.MethodGet, *idempotentRate) })
	f.calls.Go(func() { f.call("hold", http.MethodPost, *nonIdempotentRate) })
	return f
}

// withBudgetBounds replaces the bounds in a host's settings file.
func withBudgetBounds(t *testing.T) func(*harness.Process) {
	return func(p *harness.Process) {
		file := p.Args[slices.Index(p.Args, "--node-file")+1]
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		settings := make(map[string]any)
		require.NoError(t, json.Unmarshal(raw, &settings))
		settings["bounds"] = map[string]any{"graceS": budgetGrace.Seconds(), "configApplyMs": 2000, "revokeStrict": true, "revokeMs": 5000,
			"retryBudgetRatio": budgetRatio, "budgetWindowS": budgetWindow.Seconds(), "retrySlack": budgetSlack}
		raw, err = json.Marshal(settings)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, raw, 0o600))
	}
}

// answerBadly answers late, with an error or with a rejection, depending on the request.
func answerBadly(w http.ResponseWriter, r *http.Request) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.Header.Get(headers.RequestID)))
	switch hash.Sum32() % 3 {
	case 0:
		time.Sleep(slowAnswer)
		standin.Succeed(w, r)
	case 1:
		standin.Fail(w, r)
	default:
		standin.Reject(w, r)
	}
}

// probe keeps callers from a host that did not answer two probes in a row.
func (f *retriedFleet) probe(h *host) {
	for misses := 0; ; {
		if h.isReady() {
			misses = 0
			f.taken[h].Store(true)
		} else if misses++; misses == 2 {
			f.taken[h].Store(false)
		}
		select {
		case <-f.stopped:
			return
		case <-time.After(probeInterval):
		}
	}
}

// call sends calls at the given rate to random hosts.
func (f *retriedFleet) call(route, method string, perSecond float64) {
	random := rand.New(rand.NewPCG(*seed, uint64(len(route))))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
		}
		var open []*host
		for _, h := range f.hosts {
			if f.taken[h].Load() {
				open = append(open, h)
			}
		}
		if len(open) == 0 {
			continue
		}
		o := outcome{id: fmt.Sprintf("%s-%d", route, n), route: route, host: open[random.IntN(len(open))], key: "key-1"}
		f.calls.Go(func() {
			o.send(http.DefaultClient, method)
			f.sentMu.Lock()
			defer f.sentMu.Unlock()
			f.sent = append(f.sent, o)
		})
	}
}

func (f *retriedFleet) stopCalls() {
	close(f.stopped)
	f.calls.Wait()
}

// inSeries restarts all hosts but one, several within a window.
func (f *retriedFleet) inSeries(restart func(*host)) {
	var restarts sync.WaitGroup
	for _, n := range f.random.Perm(len(f.hosts))[:budgetHosts-1] {
		restarts.Go(func() { restart(f.hosts[n]) })
		time.Sleep(restartGap)
	}
	restarts.Wait()
	time.Sleep(afterRestarts)
}

// together restarts all hosts at once and calls meanwhile when they have started.
// Calls then go on for the rest of the window in which the first ones failed.
func (f *retriedFleet) together(restart func(*host), meanwhile func()) {
	var restarts sync.WaitGroup
	for _, h := range f.hosts {
		restarts.Go(func() { restart(h) })
	}
	restarts.Wait()
	meanwhile()
	time.Sleep(budgetWindow - failingLead)
}

func (f *retriedFleet) crash(h *host) { f.crashAndRestart(h, 300*time.Millisecond) }

func (f *retriedFleet) stop(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Signal(syscall.SIGTERM)
	select {
	case <-h.process.Ended():
	case <-time.After(budgetGrace):
		h.process.Kill()
	}
	f.start(h)
}

// repeat is an arrival beyond the first of its request.
type repeat struct {
	at       time.Time
	call     *outcome
	decision *retryDecision // nil if the host logged none
}

// retryDecision is what a host logged when it sent a call again.
type retryDecision struct {
	Allowed  float64
	Retries  int
	Requests int
	Hosts    int
}

// checkBudget checks the repeats in every window against the published bound.
func (f *retriedFleet) checkBudget() {
	var sent []time.Time
	for _, o := range f.sent {
		sent = append(sent, o.sent)
	}
	slices.SortFunc(sent, time.Time.Compare)
	repeats := f.repeats()
	end, bound := worstWindow(repeats, sent, budgetSlack)
	within := inWindow(repeats, end)
	f.t.Logf("%d calls, %d repeats; the window closest to its bound ends at %s: %d repeats, bound %.1f%s",
		len(sent), len(repeats), end.Format(timeLayout), len(within), bound, f.explain(within))
	if float64(len(within)) > bound {
		f.t.Errorf("retry budget: %d repeats in the window that ends at %s, %.1f are allowed", len(within), end.Format(timeLayout), bound)
	}
}

// worstWindow returns the end and the bound of the window whose repeats use the largest
// share of it. Repeats and sent are sorted by time.
func worstWindow(repeats []repeat, sent []time.Time, slack float64) (worst time.Time, worstBound float64) {
	var ends []time.Time // all ends at which a count changes
	for _, r := range repeats {
		ends = append(ends, r.at, r.at.Add(budgetWindow-1))
	}
	for _, at := range sent {
		for half := range time.Duration(5) {
			ends = append(ends, at.Add(half*budgetWindow/2-1), at.Add(half*budgetWindow/2))
		}
	}
	requests := func(end time.Time) int { return countUntil(sent, end) - countUntil(sent, end.Add(-budgetWindow)) }
	most := -1.0
	for _, end := range ends {
		bound := budgetRatio*float64(max(requests(end), requests(end.Add(-budgetWindow/2)), requests(end.Add(-budgetWindow)))) + slack
		if used := float64(len(inWindow(repeats, end))) / bound; used > most {
			most, worst, worstBound = used, end, bound
		}
	}
	return worst, worstBound
}

// inWindow returns the repeats in the window with the given end.
func inWindow(all []repeat, end time.Time) []repeat {
	until := func(t time.Time) int {
		return sort.Search(len(all), func(i int) bool { return all[i].at.After(t) })
	}
	return all[until(end.Add(-budgetWindow)):until(end)]
}

func countUntil(times []time.Time, end time.Time) int {
	return sort.Search(len(times), func(i int) bool { return times[i].After(end) })
}

// repeats returns the repeats in the order of their arrival.
func (f *retriedFleet) repeats() []repeat {
	calls := make(map[string]*outcome)
	for i := range f.sent {
		calls[f.sent[i].id] = &f.sent[i]
	}
	arrivals := make(map[string][]time.Time)
	for _, t := range f.activeTargets(plainService) {
		for _, a := range t.plain.Requests() {
			if calls[a.ID()] != nil {
				arrivals[a.ID()] = append(arrivals[a.ID()], a.ReceivedAt)
			}
		}
	}
	decisions := f.decisions()
	var out []repeat
	for id, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		for _, at := range times[1:] {
			out = append(out, repeat{at: at, call: calls[id], decision: decisions[id]})
		}
	}
	slices.SortFunc(out, func(a, b repeat) int { return a.at.Compare(b.at) })
	return out
}

// decisions returns the logged decisions to send a call again, by request id.
func (f *retriedFleet) decisions() map[string]*retryDecision {
	out := make(map[string]*retryDecision)
	for _, h := range f.hosts {
		text, err := os.ReadFile(h.process.LogPath)
		require.NoError(f.t, err)
		for line := range bytes.Lines(text) {
			var l struct {
				Msg, Request string
				Budget       *retryDecision
			}
			if json.Unmarshal(line, &l) == nil && l.Msg == "plain: sent again" {
				out[l.Request] = l.Budget
			}
		}
	}
	return out
}

// account counts the repeats of one process, and those of them that exceed its share of
// the published bound.
type account struct {
	repeats, alone, few int         // alone: it knew only itself; few: only some of the hosts
	unlogged            int         // without a decision
	hosts               map[int]int // repeats by the number of hosts that it knew
	allowed             float64     // at most
}

func (a *account) add(r repeat) {
	a.repeats++
	d := r.decision
	if d == nil {
		a.unlogged++
		return
	}
	a.hosts[d.Hosts]++
	a.allowed = max(a.allowed, d.Allowed)
	switch exceeds := float64(d.Retries+1) > budgetRatio*float64(d.Requests)+budgetSlack/budgetHosts; {
	case exceeds && d.Hosts == 1:
		a.alone++
	case exceeds:
		a.few++
	}
}

// explain tells which processes sent the repeats of a window, and why they were allowed.
func (f *retriedFleet) explain(repeats []repeat) string {
	var b strings.Builder
	again := 0
	for _, h := range f.hosts {
		most := 0
		for i, started := range h.startedAt {
			a := account{hosts: make(map[int]int)}
			for _, r := range repeats {
				if r.call.host == h && r.call.sent.After(started) && (i+1 == len(h.startedAt) || r.call.sent.Before(h.startedAt[i+1])) {
					a.add(r)
				}
			}
			if a.repeats > 0 {
				fmt.Fprintf(&b, "\n  %s, started at %s: %d repeats, of which beyond its share: %d alone, %d with few hosts; %d without a line; hosts known: %v; allowed up to %.1f",
					h.name, started.Format(timeLayout), a.repeats, a.alone, a.few, a.unlogged, a.hosts, a.allowed)
			}
			share := a.repeats - a.alone - a.few - a.unlogged
			again += min(most, share)
			most = max(most, share)
		}
	}
	fmt.Fprintf(&b, "\n  within its share, but after another process of the same host: %d repeats", again)
	return b.String()
}

// TestBudgetCheckDetectsViolations tests the check itself.
func TestBudgetCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	var sent []time.Time
	for range 20 { // all at once: they raise the bound by 4 for two windows
		sent = append(sent, at)
	}
	exceeds := func(repeats int, first, interval time.Duration) bool {
		var all []repeat
		for n := range repeats {
			all = append(all, repeat{at: at.Add(first + time.Duration(n)*interval)})
		}
		end, bound := worstWindow(all, sent, budgetSlack)
		return float64(len(inWindow(all, end))) > bound
	}
	require.False(t, exceeds(budgetSlack+4, 0, time.Millisecond))
	require.True(t, exceeds(budgetSlack+5, 0, time.Millisecond))
	require.False(t, exceeds(budgetSlack+5, 0, budgetWindow/(budgetSlack+4)+1), "the last one is in the next window")
	require.True(t, exceeds(budgetSlack+1, 2*budgetWindow, time.Millisecond), "the requests no longer count")
}

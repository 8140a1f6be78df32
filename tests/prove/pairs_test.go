package prove

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// pairCount is how many pairs of faults are drawn from a seed. The short form runs
// the first.
const pairCount = 6

// recoverTimeout bounds the time from the end of both faults until every host serves
// every kind of request again.
const recoverTimeout = 30 * time.Second

// pairTotals are sums and maxima over all pairs of a run.
var pairTotals struct {
	sync.Mutex
	faults, inFlight, tokens, calls int
	slowest                         time.Duration
}

// TestPairs draws pairs of faults, their subjects and their times from the seed and
// checks all properties together while streams, seat holds, late requests and changes
// of the document run on the cluster.
func TestPairs(t *testing.T) {
	t.Parallel()
	r := randomFor(t)
	all := clusterFaults()
	for i := range pairCount {
		first, second := all[r.IntN(len(all))], all[r.IntN(len(all))]
		choices := pairChoices{first: first, second: second, host: [2]int{r.IntN(4), r.IntN(4)}, engine: [2]int{r.IntN(4), r.IntN(4)},
			service: [2]int{r.IntN(2), r.IntN(2)}, after: [2]int64{int64(20 + r.IntN(800)), int64(20 + r.IntN(800))}}
		t.Run(fmt.Sprintf("pair %d", i+1), func(t *testing.T) {
			t.Parallel()
			if testing.Short() && i > 0 {
				t.Skip("not in the short form")
			}
			runPair(t, i+1, choices)
		})
	}
}

// pairChoices are the random choices for one pair of faults.
type pairChoices struct {
	first, second         clusterFault
	host, engine, service [2]int
	after                 [2]int64 // number of chunks received by all callers after which each fault is injected
}

func runPair(t *testing.T, number int, choices pairChoices) {
	defer acquireSlot()()
	summary := ""
	recordResult(t, fmt.Sprintf("all properties, pair %d", number), choices.first.name+" + "+choices.second.name, &summary)
	c := startCluster(t, clusterSpec{hosts: 4, engines: 4, services: 2})
	load := c.startPairLoad(t)
	begin := time.Now()
	var injected sync.WaitGroup
	ends := make([]func(), 2)
	for i, fault := range []clusterFault{choices.first, choices.second} {
		injected.Go(func() {
			load.awaitChunks(choices.after[i])
			ends[i] = fault.inject(t, c, faultSubjects{host: c.hosts[choices.host[i]], engine: c.engines[choices.engine[i]], service: c.services[choices.service[i]]})
		})
	}
	injected.Wait()
	inFlight := load.inFlight()
	var ended sync.WaitGroup
	for _, end := range ends {
		ended.Go(end)
	}
	ended.Wait()
	c.restoreServices(t)
	recovered := c.awaitRecovered(t)
	summary = load.finish(t, choices.first.loses|choices.second.loses == onBoth)
	summary += fmt.Sprintf("; %d in flight, recovered in %s, whole run %s", inFlight,
		recovered.Round(10*time.Millisecond), time.Since(begin).Round(100*time.Millisecond))
	pairTotals.Lock()
	defer pairTotals.Unlock()
	pairTotals.faults += 2
	pairTotals.inFlight += inFlight
	pairTotals.tokens += load.tokens
	pairTotals.calls += load.calls
	pairTotals.slowest = max(pairTotals.slowest, recovered)
}

// pairLoad is the load on the cluster while a pair of faults is injected.
type pairLoad struct {
	c             *cluster
	spec          trafficSpec
	streams       *traffic
	holds         *holdTraffic
	lateRequests  int
	stop          chan struct{}
	waitRevisions func() (int, []string)
	changes       sync.WaitGroup
	tokens        int
	calls         int
}

// changeInterval is the interval between changes of the document.
const changeInterval = 700 * time.Millisecond

func (c *cluster) startPairLoad(t *testing.T) *pairLoad {
	l := &pairLoad{c: c, lateRequests: 6, stop: make(chan struct{})}
	for i := range l.lateRequests {
		c.sendLateRequest(t, i)
	}
	l.spec = trafficSpec{streams: 16, tokens: 250, trigger: 1, resume: true}
	l.streams = startTraffic(c, l.spec)
	l.holds = c.startHolds(t, "pair", 3)
	l.waitRevisions = c.watchRevisions(l.stop)
	l.changes.Go(func() { l.changeDocuments() })
	return l
}

// changeDocuments applies changes that do not affect the results until stop. A fault
// of the store may make some fail.
func (l *pairLoad) changeDocuments() {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for n := 3; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		l.c.tryApplyDocument(strings.Replace(defaultDocument, "interTokenTail: 2", fmt.Sprintf("interTokenTail: %d", n), 1))
	}
}

// awaitChunks waits until all callers together have received n chunks.
func (l *pairLoad) awaitChunks(n int64) {
	ticker := time.NewTicker(harness.PollInterval)
	defer ticker.Stop()
	for l.streams.chunks.Load() < n {
		<-ticker.C
	}
}

// inFlight counts the requests in progress, and all late requests.
func (l *pairLoad) inFlight() int {
	n := l.lateRequests
	l.holds.mu.Lock()
	for _, open := range l.holds.inFlight {
		n += len(open)
	}
	l.holds.mu.Unlock()
	return n + l.streams.running()
}

// finish waits for the callers and checks every property. It returns a summary.
func (l *pairLoad) finish(t *testing.T, mayFail bool) string {
	t.Helper()
	l.streams.finish()
	outcomes, keys := l.holds.finish()
	close(l.stop)
	l.changes.Wait()
	failed := 0
	if mayFail {
		l.tokens, failed = l.streams.checkCompleteOrFailed(t, l.spec, "v1")
	} else {
		l.tokens = l.streams.checkComplete(t, l.spec, "v1")
	}
	calls := checkCalls(t, l.c, outcomes, keys)
	l.calls = len(outcomes)
	for i := range l.lateRequests {
		l.tokens += l.c.fetchLateAnswer(t, i)
	}
	_, rollbacks := l.waitRevisions()
	require.Empty(t, rollbacks, "a host went back to an older revision")
	last := l.c.currentRevision(t)
	took := harness.Await(t, inForceBound, fmt.Sprintf("revision %d everywhere", last), func() bool { return l.c.inForce(last) })
	return fmt.Sprintf("%d tokens, %d typed ends; %s; revision %d everywhere after %s",
		l.tokens, failed, calls, last, took.Round(10*time.Millisecond))
}

// awaitRecovered waits until every gateway serves a lookup, a seat hold and a stream,
// and returns how long that took.
func (c *cluster) awaitRecovered(t *testing.T) time.Duration {
	t.Helper()
	n := 0
	return harness.Await(t, recoverTimeout, "every host serves everything", func() bool {
		n++
		for i := range c.hosts {
			if !c.serves(t, i, fmt.Sprintf(probeKeyPrefix+"%d-%d", i, n)) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) serves(t *testing.T, gateway int, id string) bool {
	lookup, err := callPlain(t, c.hosts[gateway].callerURL, keyDesk, "GET", "/services/booking/availability", "", "")
	if err != nil || lookup.status != 200 {
		return false
	}
	hold, err := c.hold(t, gateway, id)
	if err != nil || hold.status != 200 {
		return false
	}
	caller := newCaller(keyDesk, id, "", "Probe", 3)
	return readStream(t.Context(), c.hosts[gateway].callerURL, caller.call, &caller.got) == nil
}

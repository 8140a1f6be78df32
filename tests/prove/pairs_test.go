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

// pairs is how many pairs of faults a seed draws; the short form takes the first.
const pairs = 6

// recoverLimit bounds the time from the end of both faults until everything
// works at every host again.
const recoverLimit = 30 * time.Second

// pairTotals add up over all pairs of a run.
var pairTotals struct {
	sync.Mutex
	faults, inFlight, tokens, calls int
	slowest                         time.Duration
}

// TestPairs draws two faults and their moments from the seed and checks all
// properties together, while streams, holds, drafts and changes of the document
// run on one cluster.
func TestPairs(t *testing.T) {
	t.Parallel()
	r := draw(t)
	all := clusterFaults()
	for i := range pairs {
		first, second := all[r.IntN(len(all))], all[r.IntN(len(all))]
		draws := pairDraw{first: first, second: second, host: [2]int{r.IntN(4), r.IntN(4)}, engine: [2]int{r.IntN(4), r.IntN(4)},
			service: [2]int{r.IntN(2), r.IntN(2)}, after: [2]int64{int64(20 + r.IntN(800)), int64(20 + r.IntN(800))}}
		t.Run(fmt.Sprintf("pair %d", i+1), func(t *testing.T) {
			t.Parallel()
			if testing.Short() && i > 0 {
				t.Skip("not in the short form")
			}
			provePair(t, i+1, draws)
		})
	}
}

// pairDraw is what the seed has drawn for one pair.
type pairDraw struct {
	first, second         clusterFault
	host, engine, service [2]int
	after                 [2]int64 // chunks in all after which each fault begins
}

func provePair(t *testing.T, number int, draws pairDraw) {
	defer slot()()
	figures := ""
	record(t, fmt.Sprintf("all properties, pair %d", number), draws.first.name+" + "+draws.second.name, &figures)
	c := startCluster(t, clusterSize{hosts: 4, engines: 4, services: 2})
	load := c.startPairLoad(t)
	begin := time.Now()
	var both sync.WaitGroup
	ends := make([]func(), 2)
	for i, fault := range []clusterFault{draws.first, draws.second} {
		both.Go(func() {
			load.awaitChunks(draws.after[i])
			ends[i] = fault.bring(t, c, drawn{host: c.hosts[draws.host[i]], engine: c.engines[draws.engine[i]], service: c.services[draws.service[i]]})
		})
	}
	both.Wait()
	inFlight := load.inFlight()
	var ended sync.WaitGroup
	for _, end := range ends {
		ended.Go(end)
	}
	ended.Wait()
	c.healServices(t)
	recovered := c.awaitRecovered(t)
	figures = load.finish(t, draws.first.loses|draws.second.loses == onBoth)
	figures += fmt.Sprintf("; %d in flight, recovered in %s, whole run %s", inFlight,
		recovered.Round(10*time.Millisecond), time.Since(begin).Round(100*time.Millisecond))
	pairTotals.Lock()
	defer pairTotals.Unlock()
	pairTotals.faults += 2
	pairTotals.inFlight += inFlight
	pairTotals.tokens += load.tokens
	pairTotals.calls += load.calls
	pairTotals.slowest = max(pairTotals.slowest, recovered)
}

// pairLoad is everything that runs while a pair of faults comes.
type pairLoad struct {
	c       *cluster
	spec    trafficSpec
	streams *traffic
	holds   *holdTraffic
	drafts  int
	stop    chan struct{}
	watched func() (int, []string)
	changes sync.WaitGroup
	tokens  int
	calls   int
}

// changePause separates the changes of the document.
const changePause = 700 * time.Millisecond

func (c *cluster) startPairLoad(t *testing.T) *pairLoad {
	l := &pairLoad{c: c, drafts: 6, stop: make(chan struct{})}
	for i := range l.drafts {
		c.acceptDraft(t, i)
	}
	l.spec = trafficSpec{streams: 16, tokens: 250, trigger: 1, resume: true}
	l.streams = startTraffic(c, l.spec)
	l.holds = c.startHolds(t, "pair", 3)
	l.watched = c.watchRevisions(l.stop)
	l.changes.Go(func() { l.changeDocuments() })
	return l
}

// changeDocuments applies harmless changes until stop. A store fault may refuse
// some.
func (l *pairLoad) changeDocuments() {
	ticker := time.NewTicker(changePause)
	defer ticker.Stop()
	for n := 3; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		l.c.tryDocument(strings.Replace(defaultDocument, "interTokenTail: 2", fmt.Sprintf("interTokenTail: %d", n), 1))
	}
}

// awaitChunks waits until the callers have received so many chunks in all.
func (l *pairLoad) awaitChunks(n int64) {
	ticker := time.NewTicker(harness.PollInterval)
	defer ticker.Stop()
	for l.streams.started.Load() < n {
		<-ticker.C
	}
}

// inFlight counts the requests in progress.
func (l *pairLoad) inFlight() int {
	n := l.drafts
	l.holds.mu.Lock()
	for _, open := range l.holds.inFlight {
		n += len(open)
	}
	l.holds.mu.Unlock()
	return n + l.streams.running()
}

// finish waits for the callers and checks every property.
func (l *pairLoad) finish(t *testing.T, mayEnd bool) string {
	t.Helper()
	l.streams.finish()
	outcomes, keys := l.holds.finish()
	close(l.stop)
	l.changes.Wait()
	failed := 0
	if mayEnd {
		l.tokens, failed = l.streams.checkWholeOrTyped(t, l.spec, "v1")
	} else {
		l.tokens = l.streams.checkWhole(t, l.spec, "v1")
	}
	calls := checkCalls(t, l.c, outcomes, keys)
	l.calls = len(outcomes)
	for i := range l.drafts {
		l.tokens += l.c.fetchDraft(t, i)
	}
	_, reverted := l.watched()
	require.Empty(t, reverted, "a host stepped back")
	last := l.c.currentRevision(t)
	took := harness.Await(t, inForceLimit, fmt.Sprintf("revision %d everywhere", last), func() bool { return l.c.inForce(last) })
	return fmt.Sprintf("%d tokens, %d typed ends; %s; revision %d everywhere after %s",
		l.tokens, failed, calls, last, took.Round(10*time.Millisecond))
}

// awaitRecovered waits until every gateway serves a lookup, a hold and a stream.
func (c *cluster) awaitRecovered(t *testing.T) time.Duration {
	t.Helper()
	n := 0
	return harness.Await(t, recoverLimit, "every host serves everything", func() bool {
		n++
		for i := range c.hosts {
			if !c.serves(t, i, fmt.Sprintf(probePrefix+"%d-%d", i, n)) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) serves(t *testing.T, gateway int, id string) bool {
	lookup, err := plain(t, c.hosts[gateway].url, keyDesk, "GET", "/services/booking/availability", "", "")
	if err != nil || lookup.status != 200 {
		return false
	}
	hold, err := c.hold(t, gateway, id)
	if err != nil || hold.status != 200 {
		return false
	}
	one := newCaller(keyDesk, id, "", "Probe", 3)
	return stream(t.Context(), c.hosts[gateway].url, one.call, &one.got) == nil
}

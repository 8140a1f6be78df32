package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
)

const (
	streamHosts   = 3
	streamCallers = 10 // of each host
	streamFaults  = 9 * time.Second
)

// TestStreamIsSentAgainWithoutBudget counts the arrivals at engines that fail, pause and
// leave while a host is restarted: all but the first of each request are taken from the retry
// budget, unless the run moves with its memory, and keep within the published bound.
func TestStreamIsSentAgainWithoutBudget(t *testing.T) {
	t.Parallel()
	c := newClusterAt(t, restartSite, *seed, streamHosts)
	c.engines.SetEventInterval(func(string, int) time.Duration { return 15 * time.Millisecond })
	ended := make(chan struct{})
	var callers, faults sync.WaitGroup
	var sent sentTimes
	for i, h := range c.hosts {
		for n := range streamCallers {
			random := rand.New(rand.NewPCG(*seed, uint64(100*i+n)))
			callers.Go(func() { sent.add(sendStreams(h, random, fmt.Sprintf("s-%d-%d", i, n), ended)) })
		}
	}
	time.Sleep(budgetWindow + time.Second) // a process uses its whole budget only then
	faults.Go(func() { c.stopAndRestart(c.hosts[0]) })
	for until := time.Now().Add(streamFaults); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		c.disturbEngine(&faults)
	}
	close(ended)
	callers.Wait()
	faults.Wait()
	c.stopHosts()
	c.checkStreamBudget(sent.all)
}

// sentTimes collects when requests were sent.
type sentTimes struct {
	mu  sync.Mutex
	all []time.Time // guarded by mu
}

func (s *sentTimes) add(times []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, times...)
}

// sendStreams sends requests one after the other until ended is closed, and returns when.
func sendStreams(h *host, random *rand.Rand, id string, ended <-chan struct{}) (sent []time.Time) {
	for n := 0; ; n++ {
		select {
		case <-ended:
			return sent
		case <-time.After(between(random, 20*time.Millisecond, 200*time.Millisecond)):
		}
		o := outcome{id: fmt.Sprintf("%s-%d", id, n), route: []string{"lookup", "draft"}[random.IntN(2)], host: h, key: "key-1", events: []int{3, 20, 150}[random.IntN(3)]}
		sent = append(sent, time.Now())
		o.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost)
	}
}

// disturbEngine lets an engine pause, break off a stream, leave or crash.
func (c *cluster) disturbEngine(faults *sync.WaitGroup) {
	engines := c.activeTargets(engineService)
	target := engines[c.random.IntN(len(engines))]
	switch c.random.IntN(6) {
	case 0, 1:
		target.engine.Pause(300 * time.Millisecond)
	case 2, 3:
		target.engine.CutWithinEvent(2)
	case 4:
		c.addEngine()
		faults.Go(func() { c.retireTarget(target) })
	default:
		c.addEngine()
		c.removeTarget(target)
	}
}

// checkStreamBudget compares the arrivals at engines with the published bound, and with what
// the hosts logged of their retry budgets. All hosts have ended.
func (c *cluster) checkStreamBudget(sent []time.Time) {
	grants := c.streamGrants()
	arrivals := make(map[string][]time.Time)
	moved := 0
	for _, target := range c.targets {
		if target.engine == nil {
			continue
		}
		for _, r := range target.engine.Requests() {
			if r.Header.Get(headers.ContinueFrom) != "" {
				moved++
				continue
			}
			arrivals[r.ID()] = append(arrivals[r.ID()], r.ReceivedAt)
		}
	}
	var repeats []repeat
	granted := 0
	for id, times := range arrivals {
		granted += grants[id]
		if len(times)-1 > grants[id] {
			c.t.Errorf("%s reached engines %d times; the retry budget granted %d repeats", id, len(times), grants[id])
		}
		slices.SortFunc(times, time.Time.Compare)
		for _, at := range times[1:] {
			repeats = append(repeats, repeat{at: at})
		}
	}
	slices.SortFunc(repeats, func(a, b repeat) int { return a.at.Compare(b.at) })
	slices.SortFunc(sent, time.Time.Compare)
	c.t.Logf("%d requests reached engines, %d repeats, %d granted; %d arrivals of runs that moved with their memory", len(arrivals), len(repeats), granted, moved)
	require.Greater(c.t, len(repeats), 5)
	end, bound := worstWindow(repeats, sent, float64(c.site.retrySlack))
	within := len(inWindow(repeats, end))
	c.t.Logf("the window closest to its bound ends at %s: %d repeats, bound %.1f", end.Format(timeLayout), within, bound)
	require.LessOrEqual(c.t, float64(within), bound)
}

// streamGrants returns how often the hosts logged that a stream may be sent again, by
// request id.
func (c *cluster) streamGrants() map[string]int {
	out := make(map[string]int)
	for _, h := range c.hosts {
		text, err := os.ReadFile(h.process.LogPath)
		require.NoError(c.t, err)
		for line := range bytes.Lines(text) {
			var l struct{ Msg, Request string }
			if json.Unmarshal(line, &l) == nil && l.Msg == "stream: may be sent again" {
				out[l.Request]++
			}
		}
	}
	return out
}

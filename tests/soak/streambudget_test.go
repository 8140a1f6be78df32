package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
)

// TestStreamIsSentAgainWithoutBudget counts the arrivals at engines that fail, pause and
// leave while hosts are restarted: all but the first of each request are taken from the retry
// budget, unless the run moves with its memory.
func TestStreamIsSentAgainWithoutBudget(t *testing.T) {
	t.Parallel()
	const hosts, callersOfHost, faultTime = 3, 10, 9 * time.Second
	c := newClusterAt(t, restartSite, *seed, hosts)
	c.engines.SetEventInterval(func(string, int) time.Duration { return 15 * time.Millisecond })
	var sentMu sync.Mutex
	sent := make(map[string]bool)
	ended := make(chan struct{})
	var callers sync.WaitGroup
	for i, h := range c.hosts {
		for n := range callersOfHost {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(*seed, uint64(100*i+n)))
				for k := 0; ; k++ {
					select {
					case <-ended:
						return
					case <-time.After(between(random, 20*time.Millisecond, 200*time.Millisecond)):
					}
					o := outcome{id: fmt.Sprintf("s-%d-%d-%d", i, n, k), route: []string{"lookup", "draft"}[random.IntN(2)], host: h, key: "key-1", events: []int{3, 20, 150}[random.IntN(3)]}
					o.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost)
					sentMu.Lock()
					sent[o.id] = true
					sentMu.Unlock()
				}
			})
		}
	}
	time.Sleep(budgetWindow + time.Second) // a process uses its whole budget only then
	var faults sync.WaitGroup
	faults.Go(func() { c.stopAndRestart(c.hosts[0]) })
	for until := time.Now().Add(faultTime); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
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
	close(ended)
	callers.Wait()
	faults.Wait()
	c.stopHosts()

	grants := c.streamGrants()
	arrivals := make(map[string]int)
	first, repeats, moved, granted := 0, 0, 0, 0
	c.mu.Lock()
	for _, target := range c.targets {
		if target.engine == nil {
			continue
		}
		for _, r := range target.engine.Requests() {
			switch id := r.ID(); {
			case !sent[id]:
			case r.Header.Get(headers.ContinueFrom) != "":
				moved++
			default:
				arrivals[id]++
			}
		}
	}
	c.mu.Unlock()
	for id, n := range arrivals {
		first++
		repeats += n - 1
		granted += grants[id]
		if n-1 > grants[id] {
			t.Errorf("%s reached engines %d times; the retry budget granted %d repeats", id, n, grants[id])
		}
	}
	t.Logf("%d requests reached engines, %d repeats, %d granted; %d arrivals of runs that moved with their memory", first, repeats, granted, moved)
	require.Greater(t, repeats, 5)
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

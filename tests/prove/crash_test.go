package prove

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/internal/rpcconn"
)

const (
	// crashResends is how often the crashing request is sent.
	crashResends = 20
	// maxCrashLosses is how many engines a crashing request may crash at most.
	maxCrashLosses = 2
	// crashAnswerTimeout is how long its caller may wait for a final answer. A
	// suspect request runs alone on a quarantined engine and waits until the other
	// requests there have ended.
	crashAnswerTimeout = 15 * time.Second
)

// TestCrashingRequest sends a request that crashes its engine again and again. It must
// crash few engines, end with a typed error, and break no other caller's stream.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	t.Run("resent 20 times under load", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		defer acquireSlot()()
		summary := ""
		recordResult(t, "crashing request", "resent 20 times under load", &summary)
		c := startCluster(t, clusterSpec{hosts: 3, engines: 6})
		spec := trafficSpec{streams: 24, tokens: 300, trigger: 400, resume: true, idPrefix: "neighbour"}
		tr := startTraffic(c, spec)
		tr.awaitReached()
		answered := c.sendCrashingRequests(t)
		tr.finish()
		tokens := tr.checkComplete(t, spec, "v1")
		lost := c.lostEngines()
		if lost > maxCrashLosses {
			c.logDecisions()
		}
		require.LessOrEqualf(t, lost, maxCrashLosses, "%d engines crashed", lost)
		require.Lessf(t, answered, crashAnswerTimeout, "a caller waited %s for its final answer", answered)
		summary = fmt.Sprintf("%d sends, longest answer %s, %d targets lost, %d innocent streams, %d tokens whole",
			crashResends, answered.Round(time.Millisecond), lost, spec.streams, tokens)
	})
}

// sendCrashingRequests sends the crashing request crashResends times, each time with
// a new request id, as an impatient caller does. It returns the longest wait for an
// answer.
func (c *cluster) sendCrashingRequests(t *testing.T) time.Duration {
	longest := time.Duration(0)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range crashResends {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := &received{}
			call := streamCall{key: keySkipper, requestID: fmt.Sprintf("crash-%d", i),
				body: completion.Request{Model: "briefing", Adapter: "sk", Prompt: "Report #crash"}}
			begin := time.Now()
			err := readStream(context.Background(), c.hosts[i%len(c.hosts)].callerURL, call, got)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(begin))
			require.Error(t, err)
			require.NotNilf(t, got.failure, "send %d has no typed final answer: %v", i, err)
		}()
		if i%4 == 3 {
			wg.Wait()
		}
	}
	wg.Wait()
	return longest
}

// lostEngines counts the engines that have exited.
func (c *cluster) lostEngines() int {
	lost := 0
	for _, e := range c.engines {
		select {
		case <-e.process.Ended():
			lost++
		default:
		}
	}
	return lost
}

// logDecisions logs where the crashing requests were placed and why.
func (c *cluster) logDecisions() {
	pool := rpcconn.NewPool(rpcconn.TCP)
	defer pool.Close()
	for i := range crashResends {
		var reply control.ExplainReply
		args := control.ExplainArgs{Account: "skipper", RequestID: fmt.Sprintf("crash-%d", i)}
		if err := pool.Call(context.Background(), c.hosts[0].localAgent, "Control.Explain", args, &reply); err == nil {
			c.t.Logf("%s: %v", args.RequestID, reply.Lines)
		}
	}
}

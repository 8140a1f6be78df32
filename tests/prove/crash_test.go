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
	// crashResends is how often the caller of a crashing request sends it again.
	crashResends = 20
	// crashLosses is the most targets that one crashing request may cost.
	crashLosses = 2
	// crashAnswerLimit is the longest that its caller may wait for a final
	// answer: a target is emptied for the suspect first, which takes as long as
	// the neighbours' answers.
	crashAnswerLimit = 15 * time.Second
)

func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	t.Run("resent 20 times under load", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		defer slot()()
		figures := ""
		record(t, "crashing request", "resent 20 times under load", &figures)
		c := startCluster(t, clusterSize{hosts: 3, engines: 6})
		spec := trafficSpec{streams: 24, tokens: 300, trigger: 400, resume: true, idPrefix: "neighbour"}
		tr := startTraffic(c, spec)
		tr.awaitReached()
		answered := c.resendCrash(t)
		tr.finish()
		tokens := tr.checkWhole(t, spec, "v1")
		lost := c.lostEngines()
		if lost > crashLosses {
			c.logDecisions()
		}
		require.LessOrEqualf(t, lost, crashLosses, "%d targets lost", lost)
		require.Lessf(t, answered, crashAnswerLimit, "a caller waited %s for its final answer", answered)
		figures = fmt.Sprintf("%d sends, longest answer %s, %d targets lost, %d innocent streams, %d tokens whole",
			crashResends, answered.Round(time.Millisecond), lost, spec.streams, tokens)
	})
}

// resendCrash sends the crashing request again and again, each time with a new
// request id, as an impatient caller does, and returns the longest wait.
func (c *cluster) resendCrash(t *testing.T) time.Duration {
	longest := time.Duration(0)
	var mu sync.Mutex
	var open sync.WaitGroup
	for i := range crashResends {
		open.Add(1)
		go func() {
			defer open.Done()
			got := &received{}
			call := streamCall{key: keySkipper, requestID: fmt.Sprintf("crash-%d", i),
				body: completion.Request{Model: "briefing", Adapter: "sk", Prompt: "Report #crash"}}
			begin := time.Now()
			err := stream(context.Background(), c.hosts[i%len(c.hosts)].url, call, got)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(begin))
			require.Error(t, err)
			require.NotNilf(t, got.failure, "send %d has no typed final answer: %v", i, err)
		}()
		if i%4 == 3 {
			open.Wait()
		}
	}
	open.Wait()
	return longest
}

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

// logDecisions logs where the crashing request was sent, and why.
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

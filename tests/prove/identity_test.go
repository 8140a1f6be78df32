package prove

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
	"corianderhitch/tests/harness"
)

// identityCase is one situation in which answers could reach the wrong caller. run
// returns a summary.
type identityCase struct {
	name  string
	short bool
	run   func(t *testing.T, c *cluster) string
}

func identityCases() []identityCase {
	return []identityCase{
		{name: "same id twice at once on two gateways", short: true, run: runSameIDTwice},
		{name: "two accounts with the same id", short: true, run: runTwoAccounts},
		{name: "caller gone, back by request id alone", run: func(t *testing.T, c *cluster) string { return runReconnect(t, c, false) }},
		{name: "caller gone, back by Last-Event-ID", run: func(t *testing.T, c *cluster) string { return runReconnect(t, c, true) }},
		{name: "callers gone, gateway killed, back by id", run: func(t *testing.T, c *cluster) string {
			return runReconnectAfterKill(t, c, false)
		}},
		{name: "callers gone, host killed, back by id", run: func(t *testing.T, c *cluster) string {
			return runReconnectAfterKill(t, c, true)
		}},
		{name: "crossed answers over cut links", run: runCrossedAnswers},
	}
}

// TestAnswersReachTheirOwnCallers checks that callers receive complete answers to their
// own requests when request ids repeat, callers reconnect or links fail.
func TestAnswersReachTheirOwnCallers(t *testing.T) {
	t.Parallel()
	for _, tc := range identityCases() {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() && !tc.short {
				t.Skip("not in the short form")
			}
			defer acquireSlot()()
			summary := ""
			recordResult(t, "whole answer to its caller", tc.name, &summary)
			summary = tc.run(t, startCluster(t, clusterSpec{hosts: 3, engines: 3}))
		})
	}
}

// streamCaller is a caller of one stream, with what it received and must receive.
type streamCaller struct {
	call    streamCall
	got     received
	adapter string
	tokens  int
}

func newCaller(key, requestID, adapter, prompt string, tokens int) *streamCaller {
	return &streamCaller{adapter: adapter, tokens: tokens, call: streamCall{
		key: key, requestID: requestID,
		body: completion.Request{Model: "briefing", Adapter: adapter, Prompt: fmt.Sprintf("%s #len=%d", prompt, tokens)},
	}}
}

// readAll lets all callers read their streams at the same time, each through the
// gateway that the function chooses.
func (c *cluster) readAll(t *testing.T, callers []*streamCaller, gateway func(i int) int) {
	t.Helper()
	var wg sync.WaitGroup
	errs := make([]error, len(callers))
	for i, caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = readStream(context.Background(), c.hosts[gateway(i)%len(c.hosts)].callerURL, caller.call, &caller.got)
		}()
	}
	wg.Wait()
	for i, err := range errs {
		require.NoErrorf(t, err, "caller %d after %d tokens", i, len(callers[i].got.chunks))
	}
}

// disconnectAfter reads a stream and closes the connection after that many tokens.
func (c *cluster) disconnectAfter(caller *streamCaller, gateway, tokens int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	caller.call.onChunk = func(n int) {
		if n >= tokens {
			cancel()
		}
	}
	_ = readStream(ctx, c.hosts[gateway%len(c.hosts)].callerURL, caller.call, &caller.got)
	caller.call.onChunk = nil
}

// checkOwnAnswers requires that every caller has a complete answer which an engine
// generated for its own request id. It returns the number of tokens.
func (c *cluster) checkOwnAnswers(t *testing.T, callers []*streamCaller) (tokens int) {
	t.Helper()
	ids := make(map[string]string) // request id of each generation
	for _, e := range c.engines {
		for _, line := range readJournal(t, e) {
			if line.Kind == "start" {
				ids[line.Generation] = line.RequestID
			}
		}
	}
	for i, caller := range callers {
		require.Truef(t, caller.got.done, "caller %d", i)
		require.Lenf(t, caller.got.chunks, caller.tokens, "caller %d", i)
		checkChunks(t, i, &caller.got, "v1", caller.adapter)
		generation := caller.got.chunks[0].Generation
		require.Equalf(t, caller.call.requestID, ids[generation], "caller %d has generation %s of another request", i, generation)
		for _, chunk := range caller.got.chunks {
			require.Equalf(t, caller.call.requestID, chunk.ID, "caller %d", i)
		}
		tokens += len(caller.got.chunks)
	}
	return tokens
}

// generations returns how many callers have read each generation.
func generations(callers []*streamCaller) map[string]int {
	all := make(map[string]int)
	for _, caller := range callers {
		all[caller.got.chunks[0].Generation]++
	}
	return all
}

// generationsOf counts the generations that engines have started for a request id.
func (c *cluster) generationsOf(id string) int {
	n := 0
	for _, e := range c.engines {
		for _, line := range readJournal(c.t, e) {
			if line.Kind == "start" && line.RequestID == id {
				n++
			}
		}
	}
	return n
}

// runSameIDTwice sends each request twice at the same time through two gateways.
func runSameIDTwice(t *testing.T, c *cluster) string {
	const ids, senders = 12, 2
	var callers []*streamCaller
	for i := range ids {
		for range senders {
			id := fmt.Sprintf("twice-%d", i)
			callers = append(callers, newCaller(keyDesk, id, "", "Trip "+id, 80))
		}
	}
	c.readAll(t, callers, func(i int) int { return i%senders + i/senders })
	tokens := c.checkOwnAnswers(t, callers)
	started := 0
	for i := range ids {
		started += c.generationsOf(fmt.Sprintf("twice-%d", i))
	}
	return fmt.Sprintf("%d ids sent twice, %d tokens, %d generations started, %d read", ids, tokens, started, len(generations(callers)))
}

// runTwoAccounts sends requests of two accounts with the same ids.
func runTwoAccounts(t *testing.T, c *cluster) string {
	const ids = 10
	var callers []*streamCaller
	for i := range ids {
		id := fmt.Sprintf("shared-%d", i)
		callers = append(callers, newCaller(keyDesk, id, "", "Desk "+id, 60), newCaller(keySkipper, id, "sk", "Skipper "+id, 75))
	}
	c.readAll(t, callers, func(i int) int { return i / 2 })
	tokens := c.checkOwnAnswers(t, callers)
	require.Len(t, generations(callers), len(callers), "each account reads its own generations")
	return fmt.Sprintf("%d ids of two accounts, %d tokens, %d generations", ids, tokens, len(callers))
}

// runReconnect lets callers close their connections and reconnect through another
// gateway, by resume token or by request id alone.
func runReconnect(t *testing.T, c *cluster, byToken bool) string {
	const streams = 12
	var callers []*streamCaller
	var wg sync.WaitGroup
	r := randomFor(t)
	for i := range streams {
		caller := newCaller(keyDesk, fmt.Sprintf("back-%d", i), "", fmt.Sprintf("Back %d", i), 150)
		callers = append(callers, caller)
		after := 1 + r.IntN(100)
		wg.Add(1)
		go func() { defer wg.Done(); c.disconnectAfter(caller, i, after) }()
	}
	wg.Wait()
	before := c.prepareResume(callers, byToken)
	c.readAll(t, callers, func(i int) int { return i + 1 })
	tokens := c.checkOwnAnswers(t, callers)
	for i, caller := range callers {
		require.Equalf(t, before[i], caller.got.chunks[0].Generation, "caller %d reconnected to another generation", i)
		require.Equalf(t, 1, c.generationsOf(caller.call.requestID), "generations of caller %d", i)
	}
	return fmt.Sprintf("%d callers came back to their generations, %d tokens", streams, tokens)
}

// prepareResume makes each caller's next attempt resume its stream and returns the
// generations read so far. Without its token a caller reads from the start.
func (c *cluster) prepareResume(callers []*streamCaller, byToken bool) []string {
	var before []string
	for _, caller := range callers {
		require.NotEmpty(c.t, caller.got.chunks)
		before = append(before, caller.got.chunks[0].Generation)
		caller.call.resume = true
		if !byToken {
			caller.got = received{}
		}
	}
	return before
}

// runReconnectAfterKill kills the gateway after its callers have disconnected: only
// the request directory knows the generations, which complete without a reader. If the
// whole host is killed, its part of the directory is lost as well.
func runReconnectAfterKill(t *testing.T, c *cluster, wholeHost bool) string {
	const streams = 10
	var callers []*streamCaller
	var wg sync.WaitGroup
	for i := range streams {
		caller := newCaller(keyDesk, fmt.Sprintf("orphan-%d", i), "", fmt.Sprintf("Orphan %d", i), 120)
		callers = append(callers, caller)
		wg.Add(1)
		go func() { defer wg.Done(); c.disconnectAfter(caller, 0, 5) }()
	}
	wg.Wait()
	c.hosts[0].gateway.Kill()
	if wholeHost {
		c.hosts[0].agent.Kill()
	}
	before := c.prepareResume(callers, false)
	c.readAll(t, callers, func(i int) int { return 1 + i%2 })
	tokens := c.checkOwnAnswers(t, callers)
	for i, caller := range callers {
		require.Equal(t, before[i], caller.got.chunks[0].Generation)
	}
	return fmt.Sprintf("%d callers came back after their gateway's death, %d tokens", streams, tokens)
}

// runCrossedAnswers sends many different requests over few links that are delayed and
// closed, so that answers overtake one another.
func runCrossedAnswers(t *testing.T, c *cluster) string {
	const streams = 40
	spec := trafficSpec{streams: streams, tokens: 100, trigger: streams * 10, resume: true, idPrefix: "crossed"}
	for _, e := range c.engines {
		e.link.SetDelay(harness.PollInterval)
	}
	tr := startTraffic(c, spec)
	tr.awaitReached()
	for _, e := range c.engines {
		e.link.CloseConnections()
		e.link.SetDelay(0)
	}
	tr.finish()
	tokens := tr.checkComplete(t, spec, "v1")
	var callers []*streamCaller
	for i, got := range tr.streams {
		caller := newCaller(keyDesk, fmt.Sprintf("crossed-%d", i), "", "", spec.tokens)
		caller.got = *got
		callers = append(callers, caller)
	}
	c.checkOwnAnswers(t, callers)
	return fmt.Sprintf("%d streams over delayed and cut links, %d tokens", streams, tokens)
}

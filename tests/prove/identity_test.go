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

// identityCase is one way in which answers could reach the wrong caller.
type identityCase struct {
	name  string
	short bool
	prove func(t *testing.T, c *cluster) string
}

func identityCases() []identityCase {
	return []identityCase{
		{name: "same id twice at once on two gateways", short: true, prove: proveSameIDTwice},
		{name: "two accounts with the same id", short: true, prove: proveTwoAccounts},
		{name: "caller gone, back by request id alone", prove: func(t *testing.T, c *cluster) string { return proveComeBack(t, c, false) }},
		{name: "caller gone, back by Last-Event-ID", prove: func(t *testing.T, c *cluster) string { return proveComeBack(t, c, true) }},
		{name: "callers gone, gateway killed, back by id", prove: func(t *testing.T, c *cluster) string {
			return proveComeBackAfterKill(t, c, false)
		}},
		{name: "callers gone, host killed, back by id", prove: func(t *testing.T, c *cluster) string {
			return proveComeBackAfterKill(t, c, true)
		}},
		{name: "crossed answers over cut links", prove: proveCrossed},
	}
}

func TestAnswersReachTheirOwnCallers(t *testing.T) {
	t.Parallel()
	for _, one := range identityCases() {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() && !one.short {
				t.Skip("not in the short form")
			}
			defer slot()()
			figures := ""
			record(t, "whole answer to its caller", one.name, &figures)
			figures = one.prove(t, startCluster(t, clusterSize{hosts: 3, engines: 3}))
		})
	}
}

// caller is one stream with what its caller may expect.
type caller struct {
	call    streamCall
	got     received
	adapter string
	tokens  int
}

func newCaller(key, requestID, adapter, prompt string, tokens int) *caller {
	return &caller{adapter: adapter, tokens: tokens, call: streamCall{
		key: key, requestID: requestID,
		body: completion.Request{Model: "briefing", Adapter: adapter, Prompt: fmt.Sprintf("%s #len=%d", prompt, tokens)},
	}}
}

// read runs one attempt of every caller at once, each at its gateway.
func (c *cluster) read(t *testing.T, callers []*caller, gateway func(i int) int) {
	t.Helper()
	var open sync.WaitGroup
	errs := make([]error, len(callers))
	for i, one := range callers {
		open.Add(1)
		go func() {
			defer open.Done()
			errs[i] = stream(context.Background(), c.hosts[gateway(i)%len(c.hosts)].url, one.call, &one.got)
		}()
	}
	open.Wait()
	for i, err := range errs {
		require.NoErrorf(t, err, "caller %d after %d tokens", i, len(callers[i].got.chunks))
	}
}

// leaveAfter reads a stream and drops the connection after so many tokens.
func (c *cluster) leaveAfter(one *caller, gateway, tokens int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	one.call.onChunk = func(n int) {
		if n >= tokens {
			cancel()
		}
	}
	_ = stream(ctx, c.hosts[gateway%len(c.hosts)].url, one.call, &one.got)
	one.call.onChunk = nil
}

// checkOwn requires whole answers that engines made for the callers' own ids.
func (c *cluster) checkOwn(t *testing.T, callers []*caller) (tokens int) {
	t.Helper()
	ids := make(map[string]string) // request id by generation
	for _, e := range c.engines {
		for _, line := range readJournal(t, e) {
			if line.Kind == "start" {
				ids[line.Generation] = line.RequestID
			}
		}
	}
	for i, one := range callers {
		require.Truef(t, one.got.done, "caller %d", i)
		require.Lenf(t, one.got.chunks, one.tokens, "caller %d", i)
		checkChunks(t, i, &one.got, "v1", one.adapter)
		generation := one.got.chunks[0].Generation
		require.Equalf(t, one.call.requestID, ids[generation], "caller %d has generation %s of another request", i, generation)
		for _, chunk := range one.got.chunks {
			require.Equalf(t, one.call.requestID, chunk.ID, "caller %d", i)
		}
		tokens += len(one.got.chunks)
	}
	return tokens
}

// generations returns the different generations that the callers have read.
func generations(callers []*caller) map[string]int {
	all := make(map[string]int)
	for _, one := range callers {
		all[one.got.chunks[0].Generation]++
	}
	return all
}

// startsOf counts the generations that engines have started for a request id.
func (c *cluster) startsOf(id string) int {
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

func proveSameIDTwice(t *testing.T, c *cluster) string {
	const ids, senders = 12, 2
	var callers []*caller
	for i := range ids {
		for range senders {
			id := fmt.Sprintf("twice-%d", i)
			callers = append(callers, newCaller(keyDesk, id, "", "Trip "+id, 80))
		}
	}
	c.read(t, callers, func(i int) int { return i%senders + i/senders })
	tokens := c.checkOwn(t, callers)
	started := 0
	for i := range ids {
		started += c.startsOf(fmt.Sprintf("twice-%d", i))
	}
	return fmt.Sprintf("%d ids sent twice, %d tokens, %d generations started, %d read", ids, tokens, started, len(generations(callers)))
}

func proveTwoAccounts(t *testing.T, c *cluster) string {
	const ids = 10
	var callers []*caller
	for i := range ids {
		id := fmt.Sprintf("shared-%d", i)
		callers = append(callers, newCaller(keyDesk, id, "", "Desk "+id, 60), newCaller(keySkipper, id, "sk", "Skipper "+id, 75))
	}
	c.read(t, callers, func(i int) int { return i / 2 })
	tokens := c.checkOwn(t, callers)
	require.Len(t, generations(callers), len(callers), "no generation is read by two accounts")
	return fmt.Sprintf("%d ids of two accounts, %d tokens, %d generations", ids, tokens, len(callers))
}

// proveComeBack lets callers drop their connections and come back elsewhere.
func proveComeBack(t *testing.T, c *cluster, byToken bool) string {
	const streams = 12
	var callers []*caller
	var open sync.WaitGroup
	r := draw(t)
	for i := range streams {
		one := newCaller(keyDesk, fmt.Sprintf("back-%d", i), "", fmt.Sprintf("Back %d", i), 150)
		callers = append(callers, one)
		after := 1 + r.IntN(100)
		open.Add(1)
		go func() { defer open.Done(); c.leaveAfter(one, i, after) }()
	}
	open.Wait()
	before := c.prepareReturn(callers, byToken)
	c.read(t, callers, func(i int) int { return i + 1 })
	tokens := c.checkOwn(t, callers)
	for i, one := range callers {
		require.Equalf(t, before[i], one.got.chunks[0].Generation, "caller %d has come back to another generation", i)
		require.Equalf(t, 1, c.startsOf(one.call.requestID), "generations of caller %d", i)
	}
	return fmt.Sprintf("%d callers came back to their generations, %d tokens", streams, tokens)
}

// prepareReturn makes each caller's next attempt a resumption and returns the
// generations so far. Without its token a caller reads from the start.
func (c *cluster) prepareReturn(callers []*caller, byToken bool) []string {
	var before []string
	for _, one := range callers {
		require.NotEmpty(c.t, one.got.chunks)
		before = append(before, one.got.chunks[0].Generation)
		one.call.resume = true
		if !byToken {
			one.got = received{}
		}
	}
	return before
}

// proveComeBackAfterKill lets the gateway die after its callers have left: only
// the directory knows the generations, which end without a reader. If the whole
// host dies, its part of the directory dies as well.
func proveComeBackAfterKill(t *testing.T, c *cluster, wholeHost bool) string {
	const streams = 10
	var callers []*caller
	var open sync.WaitGroup
	for i := range streams {
		one := newCaller(keyDesk, fmt.Sprintf("orphan-%d", i), "", fmt.Sprintf("Orphan %d", i), 120)
		callers = append(callers, one)
		open.Add(1)
		go func() { defer open.Done(); c.leaveAfter(one, 0, 5) }()
	}
	open.Wait()
	c.hosts[0].gateway.Kill()
	if wholeHost {
		c.hosts[0].agent.Kill()
	}
	before := c.prepareReturn(callers, false)
	c.read(t, callers, func(i int) int { return 1 + i%2 })
	tokens := c.checkOwn(t, callers)
	for i, one := range callers {
		require.Equal(t, before[i], one.got.chunks[0].Generation)
	}
	return fmt.Sprintf("%d callers came back after their gateway's death, %d tokens", streams, tokens)
}

// proveCrossed sends many different requests over few links that are delayed
// and cut, so that answers overtake one another.
func proveCrossed(t *testing.T, c *cluster) string {
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
	tokens := tr.checkWhole(t, spec, "v1")
	var callers []*caller
	for i, got := range tr.streams {
		one := newCaller(keyDesk, fmt.Sprintf("crossed-%d", i), "", "", spec.tokens)
		one.got = *got
		callers = append(callers, one)
	}
	c.checkOwn(t, callers)
	return fmt.Sprintf("%d streams over delayed and cut links, %d tokens", streams, tokens)
}

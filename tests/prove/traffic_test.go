package prove

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
)

// reconnectDelay is how long a caller waits before it reconnects.
const reconnectDelay = 100 * time.Millisecond

// traffic is a set of callers that stream completions at the same time.
type traffic struct {
	c       *cluster
	streams []*received
	chunks  atomic.Int64  // chunks received by all callers
	reached chan struct{} // closed when all callers together have received trigger chunks
	trigger int64
	once    sync.Once
	callers sync.WaitGroup
	ended   atomic.Int64
	errs    []error // result of the last attempt of each stream
}

// trafficSpec describes the callers of a traffic.
type trafficSpec struct {
	streams  int
	tokens   int   // length of each answer
	trigger  int64 // number of chunks, over all callers, after which reached is closed
	resume   bool  // a caller whose connection fails reconnects to another gateway
	account  string
	prompt   string
	adapter  string
	idPrefix string
}

// startTraffic starts the callers, which spread over the hosts.
func startTraffic(c *cluster, spec trafficSpec) *traffic {
	tr := &traffic{c: c, reached: make(chan struct{}), trigger: spec.trigger, errs: make([]error, spec.streams)}
	for i := range spec.streams {
		tr.streams = append(tr.streams, &received{})
		tr.callers.Add(1)
		go func() {
			defer tr.callers.Done()
			defer tr.ended.Add(1)
			tr.errs[i] = tr.follow(spec, i)
		}()
	}
	return tr
}

// follow reads one stream to its end and reconnects after failures if spec.resume is
// set.
func (tr *traffic) follow(spec trafficSpec, i int) error {
	got := tr.streams[i]
	call := streamCall{
		key:       valueOr(spec.account, keyDesk),
		requestID: fmt.Sprintf("%s-%d", valueOr(spec.idPrefix, "stream"), i),
		body: completion.Request{
			Model:   "briefing",
			Adapter: spec.adapter,
			Prompt:  fmt.Sprintf("%s case %d #len=%d", valueOr(spec.prompt, "Trip briefing"), i, spec.tokens),
		},
		onChunk: func(int) { tr.count() },
	}
	deadline := time.Now().Add(callTimeout)
	for attempt := 0; ; attempt++ {
		h := tr.c.hosts[(i+attempt)%len(tr.c.hosts)]
		err := readStream(context.Background(), h.callerURL, call, got)
		if err == nil || !spec.resume || time.Now().After(deadline) || terminal(err) {
			return err
		}
		call.resume = len(got.chunks) > 0
		got.failure = nil
		<-time.After(reconnectDelay)
	}
}

// terminal reports whether an error is the final answer to a request, after which the
// caller does not try again. A request that was not run may be sent again.
func terminal(err error) bool {
	var p *problem.Error
	if !errors.As(err, &p) {
		return false
	}
	return p.Ran != problem.RanNo
}

func (tr *traffic) count() {
	if tr.chunks.Add(1) >= tr.trigger {
		tr.once.Do(func() { close(tr.reached) })
	}
}

// running counts the streams that have not ended.
func (tr *traffic) running() int { return len(tr.streams) - int(tr.ended.Load()) }

// awaitReached waits until the callers have received the chunks that trigger the
// fault.
func (tr *traffic) awaitReached() {
	tr.c.t.Helper()
	select {
	case <-tr.reached:
	case <-time.After(callTimeout):
		require.FailNow(tr.c.t, "the streams did not reach the trigger")
	}
}

// finish waits for all callers.
func (tr *traffic) finish() { tr.callers.Wait() }

// checkComplete requires that every caller has its complete answer: all tokens once,
// in order, from one generation, with the texts of that generation. It returns the
// number of tokens.
func (tr *traffic) checkComplete(t testing.TB, spec trafficSpec, version string) int {
	t.Helper()
	tokens := 0
	for i, got := range tr.streams {
		require.NoErrorf(t, tr.errs[i], "stream %d after %d tokens", i, len(got.chunks))
		require.Truef(t, got.done, "stream %d has not ended", i)
		checkChunks(t, i, got, version, spec.adapter)
		require.Lenf(t, got.chunks, spec.tokens, "stream %d", i)
		tokens += len(got.chunks)
	}
	return tokens
}

// checkCompleteOrFailed is checkComplete for faults after which a stream may also end
// with a typed terminal error. Tokens received until then must still be a prefix of one
// generation. failed counts the streams that ended with an error.
func (tr *traffic) checkCompleteOrFailed(t testing.TB, spec trafficSpec, version string) (tokens, failed int) {
	t.Helper()
	for i, got := range tr.streams {
		checkChunks(t, i, got, version, spec.adapter)
		tokens += len(got.chunks)
		if got.done {
			require.Lenf(t, got.chunks, spec.tokens, "stream %d", i)
			continue
		}
		failed++
		require.NotNilf(t, got.failure, "stream %d ended without a typed error: %v", i, tr.errs[i])
	}
	return tokens, failed
}

// checkChunks requires that the received chunks are a prefix of one generation.
func checkChunks(t testing.TB, i int, got *received, version, adapter string) {
	t.Helper()
	for n, chunk := range got.chunks {
		require.Equalf(t, n, chunk.Offset, "stream %d: offset", i)
		require.Equalf(t, got.chunks[0].Generation, chunk.Generation, "stream %d: spliced at %d", i, n)
		want := tokenText(chunk.Generation, version, adapter, n)
		require.Equalf(t, want, chunk.Choices[0].Text, "stream %d: token %d", i, n)
	}
}

// maxGap returns the longest pause between two tokens of any stream.
func (tr *traffic) maxGap() time.Duration {
	gap := time.Duration(0)
	for _, got := range tr.streams {
		gap = max(gap, got.maxGap)
	}
	return gap
}

// randomFor returns the random source of one test. It depends on the seed and on the
// test's full name, so that renaming a test or subtest changes what a seed draws.
func randomFor(t testing.TB) *rand.Rand {
	h := uint64(0)
	for _, b := range []byte(t.Name()) {
		h = h*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(uint64(*seed), h))
}

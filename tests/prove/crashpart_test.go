package prove

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
	"corianderhitch/internal/prefix"
)

const (
	// partRequests is how many requests with the crashing part come, one every
	// partInterval.
	partRequests = 30
	partInterval = 250 * time.Millisecond
	// maxPartCrashes is how many engines they may crash: five, and three more.
	maxPartCrashes = 8
	// engineRestartDelay is how long a crashed engine is away.
	engineRestartDelay = 1500 * time.Millisecond
	// maxRefusalTime is how long a caller may wait for a refusal that needs no engine.
	maxRefusalTime = time.Second
)

// Parts of prompts, in whole blocks.
var (
	sharedPart   = strings.Repeat("All briefings of the desk begin with this text. ", 16)[:2*partBlock]
	crashingPart = strings.Repeat("One table of this annex is malformed. ", 24)[:3*partBlock]
	soundPart    = strings.Repeat("One table of that annex is well-formed. ", 24)[:3*partBlock]
)

const partBlock = prefix.BlockTokens * prefix.BytesPerToken // bytes

// TestCrashingPromptPart sends requests that share a part of their prompts under which each
// engine crashes, no two of them equal, beside sound requests of the same account with the
// same first part. In the second half, each is refused at once, and all sound ones run.
func TestCrashingPromptPart(t *testing.T) {
	t.Parallel()
	for _, restarts := range []bool{false, true} {
		name := map[bool]string{false: "crashing part of prompts", true: "crashing part, all agents restart"}[restarts]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() && restarts {
				t.Skip("not in the short form")
			}
			runCrashingPart(t, name, restarts)
		})
	}
}

func runCrashingPart(t *testing.T, name string, restarts bool) {
	defer acquireSlot()()
	summary := ""
	recordResult(t, "crashing request", name, &summary)
	hashes := prefix.BlockHashes("briefing", "v1", "", sharedPart+crashingPart)
	block := strconv.FormatUint(hashes[len(hashes)-1], 16)
	c := startCluster(t, clusterSpec{hosts: 3, engines: 8, engineArgs: []string{"--crash-on-block", block}})
	counter := c.restartCrashedEngines(t)
	p := &partTraffic{c: c, settled: partRequests / 2}
	var callers sync.WaitGroup
	for i := range partRequests {
		callers.Go(func() { p.send(t, i, crashingPart, "guilty") })
		callers.Go(func() { p.send(t, i, soundPart, "sound") })
		if restarts && i == partRequests/2 {
			callers.Wait()
			for _, h := range c.hosts {
				h.agent.Kill()
				h.agent.Restart(t)
				c.awaitReady(h)
				<-time.After(3 * time.Second) // the agents that run tell it of earlier crashes
			}
		}
		<-time.After(partInterval)
	}
	callers.Wait()
	crashes := counter.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.LessOrEqualf(t, crashes, maxPartCrashes, "crashes; refused: %d of %d; whole: %d", p.refused, partRequests, p.whole)
	require.Positive(t, crashes)
	require.GreaterOrEqual(t, p.whole, partRequests/2, "sound requests")
	require.Lessf(t, p.slowest, maxRefusalTime, "refusals in the second half")
	for _, h := range c.hosts {
		reply, ok := c.agentStatus(h)
		require.True(t, ok)
		require.Lenf(t, reply.Held, 1, "held prefixes that %s shows to operators", h.name)
		require.Contains(t, hashesInHex(hashes[2:]), reply.Held[0].Prefix, "of the crashing part")
	}
	summary = fmt.Sprintf("%d requests, %d engines lost, %d refused, %d sound requests whole", partRequests, crashes, p.refused, p.whole)
}

func hashesInHex(hashes []uint64) []string {
	var list []string
	for _, hash := range hashes {
		list = append(list, strconv.FormatUint(hash, 16))
	}
	return list
}

// TestEnginesKilledInSeriesHoldNoSoundPart kills engines at many moments while requests with
// the same first parts begin. None may be refused as a crash suspect, and all that come
// after the last engine is back must be answered.
func TestEnginesKilledInSeriesHoldNoSoundPart(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "crashing request", "engines killed in series, sound requests", &summary)
	c := startCluster(t, clusterSpec{hosts: 3, engines: 6})
	counter := c.restartCrashedEngines(t)
	const settling = 12 // requests while the last engine comes back
	p := &partTraffic{c: c, settled: partRequests + settling}
	var callers sync.WaitGroup
	first := randomFor(t).IntN(len(c.engines))
	for i := range 2 * partRequests {
		for range 4 {
			callers.Go(func() { p.send(t, i, soundPart, "sound") })
		}
		if i%3 == 2 && i < partRequests {
			c.engines[(first+i/3)%len(c.engines)].process.Signal(syscall.SIGKILL)
		}
		<-time.After(partInterval)
	}
	callers.Wait()
	crashes := counter.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Zero(t, p.refused, "as crash suspects")
	summary = fmt.Sprintf("%d engines killed, %d of %d requests whole", crashes, p.whole, 8*partRequests)
}

// partTraffic counts the ends of requests.
type partTraffic struct {
	c       *cluster
	settled int // from this request on each must be answered or refused at once
	sent    atomic.Int64

	mu      sync.Mutex
	refused int           // guarded by mu; requests with the crashing part
	whole   int           // guarded by mu; sound requests with the whole answer
	slowest time.Duration // guarded by mu; refusal in the second half
}

func (p *partTraffic) send(t *testing.T, i int, part, kind string) {
	got := &received{}
	n := p.sent.Add(1)
	call := streamCall{key: keyDesk, requestID: fmt.Sprintf("%s-%d", kind, n),
		body: completion.Request{Model: "briefing", Prompt: fmt.Sprintf("%s%sQuestion %d of %s #len=20", sharedPart, part, n, kind)}}
	begin := time.Now()
	err := readStream(context.Background(), p.c.hosts[i%len(p.c.hosts)].callerURL, call, got)
	p.mu.Lock()
	defer p.mu.Unlock()
	later := i >= p.settled
	switch {
	case kind == "sound" && err == nil && len(got.chunks) == 20:
		p.whole++
	case !later && got.failure != nil && got.failure.Kind != problem.KindCrashSuspect:
		// Few engines are left before the part is known.
	case kind == "sound":
		if got.failure != nil && got.failure.Kind == problem.KindCrashSuspect {
			p.refused++
		}
		t.Errorf("sound request %d ended after %d tokens: %v", i, len(got.chunks), err)
	case got.failure == nil || got.failure.Kind != problem.KindCrashSuspect:
		t.Errorf("request %d with the crashing part has no final answer: %v", i, err)
	default:
		p.refused++
		if later {
			p.slowest = max(p.slowest, time.Since(begin))
		}
	}
}

// crashCounter restarts crashed engines and counts them.
type crashCounter struct {
	ended   chan struct{}
	watched sync.WaitGroup
	mu      sync.Mutex
	crashes int // guarded by mu
}

func (c *cluster) restartCrashedEngines(t *testing.T) *crashCounter {
	counter := &crashCounter{ended: make(chan struct{})}
	for _, e := range c.engines {
		counter.watched.Go(func() {
			for {
				select {
				case <-counter.ended:
					return
				case <-e.process.Ended():
				}
				counter.mu.Lock()
				counter.crashes++
				counter.mu.Unlock()
				<-time.After(engineRestartDelay)
				e.process.Restart(t)
				c.awaitTarget(e)
				e.link.Reopen(t, e.process)
			}
		})
	}
	return counter
}

// stop returns the number of crashes.
func (r *crashCounter) stop() int {
	close(r.ended)
	r.watched.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/engine"
)

// driver makes random calls to an engine and checks all invariants after each step.
type driver struct {
	engine    *Engine
	now       time.Time
	submitted map[string]Submission
	produced  map[string]int // next offset of each generation
	ended     map[string]bool
	cache     map[uint64]bool // cache contents according to the cache events
	cacheSeq  int64
	trace     []Event
}

func newDriver(config Config) *driver {
	return &driver{
		engine:    New(config),
		now:       epoch,
		submitted: make(map[string]Submission),
		produced:  make(map[string]int),
		ended:     make(map[string]bool),
		cache:     make(map[uint64]bool),
	}
}

// submit submits a random generation; prompts of one family share prefixes.
func (d *driver) submit(t *rapid.T) {
	blocks := rapid.IntRange(0, 5).Draw(t, "prompt blocks")
	family := rapid.Uint64Range(1, 3).Draw(t, "family")
	hashes := make([]uint64, blocks)
	for i := range hashes {
		hashes[i] = family*100 + uint64(i)
	}
	s := Submission{
		ID: fmt.Sprintf("g%d", len(d.submitted)), Model: "m", Version: "1",
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		PromptTokens: blocks*BlockTokens + rapid.IntRange(1, BlockTokens-1).Draw(t, "tail"),
		PrefixHashes: hashes,
		Length:       rapid.IntRange(1, 300).Draw(t, "length"),
		Produced:     rapid.IntRange(0, 5).Draw(t, "produced"),
	}
	if d.engine.Submit(d.now, s) == nil {
		d.submitted[s.ID] = s
		d.produced[s.ID] = s.Produced
	}
}

func (d *driver) step(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		next, ok := d.engine.NextStep()
		if !ok {
			return
		}
		d.now = next
		d.recordEvents(t, d.engine.Step(next))
		d.check(t)
	}
}

func (d *driver) recordEvents(t require.TestingT, events []Event) {
	d.trace = append(d.trace, events...)
	for _, e := range events {
		require.False(t, d.ended[e.ID], "no event follows the end")
		require.Equal(t, d.produced[e.ID], e.Tokens, "no gap and no repetition")
		switch e.Kind {
		case EventToken:
			d.produced[e.ID]++
		case EventDone:
			d.ended[e.ID] = true
		}
	}
}

func (d *driver) cancel(t *rapid.T) {
	if len(d.submitted) == 0 {
		return
	}
	id := fmt.Sprintf("g%d", rapid.IntRange(0, len(d.submitted)-1).Draw(t, "canceled"))
	tokens, ok := d.engine.Cancel(d.now, id)
	require.Equal(t, ok, !d.ended[id])
	if ok {
		require.Equal(t, d.produced[id], tokens)
		d.ended[id] = true
	}
}

func (d *driver) resize(t *rapid.T) {
	d.engine.SetTotalBlocks(d.now, rapid.IntRange(8, 20).Draw(t, "memory"))
}

// check compares the totals of the block pool with the sums over all sequences.
func (d *driver) check(t *rapid.T) {
	p := &d.engine.pool
	require.GreaterOrEqual(t, p.free(), 0, "blocks never exceed the total")
	private, refCounts := 0, make(map[*block]int)
	for _, s := range d.engine.running {
		private += s.privateBlocks
		for _, b := range s.sharedBlocks {
			refCounts[b]++
		}
		require.LessOrEqual(t, s.kvTokens, s.capacity)
		require.LessOrEqual(t, s.privateBlocks+len(s.sharedBlocks), blocksFor(s.promptTokens+max(s.outputLength, s.produced)+1))
	}
	require.Equal(t, private, p.privateBlocks)
	evictable := 0
	for hash, b := range p.cached {
		require.Equal(t, hash, b.hash)
		require.Equal(t, refCounts[b], b.refCount)
		if b.refCount == 0 {
			evictable++
		}
	}
	require.Equal(t, evictable, p.evictable)
	for b := range refCounts {
		require.Same(t, p.cached[b.hash], b, "a shared block is the one in the cache")
	}
	for _, s := range d.engine.waiting.items {
		require.Zero(t, s.privateBlocks+len(s.sharedBlocks), "waiting sequences hold no memory")
	}
	require.Len(t, d.engine.sequences, len(d.engine.running)+len(d.engine.waiting.items))
	d.checkCacheEvents(t)
}

// checkCacheEvents checks that the cache events describe the exact contents of the cache.
func (d *driver) checkCacheEvents(t *rapid.T) {
	events := d.engine.CacheEvents(d.now, d.cacheSeq)
	for _, e := range events.Events {
		require.Equal(t, d.cacheSeq+1, e.Seq)
		d.cacheSeq = e.Seq
		require.Equal(t, e.Kind == engine.CacheEvicted, d.cache[e.Hash])
		d.cache[e.Hash] = e.Kind == engine.CacheStored
	}
	count := 0
	for _, stored := range d.cache {
		if stored {
			count++
		}
	}
	require.Len(t, d.engine.pool.cached, count)
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.TotalBlocks = rapid.IntRange(8, 20).Draw(t, "blocks")
		config.MaxBatch = rapid.IntRange(1, 8).Draw(t, "batch")
		config.PrefillChunk = rapid.IntRange(20, 300).Draw(t, "chunk")
		d := newDriver(config)
		t.Repeat(map[string]func(*rapid.T){
			"submit": d.submit, "submit again": d.submit, "step": d.step, "cancel": d.cancel, "resize": d.resize, "": d.check,
		})
		d.engine.SetTotalBlocks(d.now, 50)
		for next, ok := d.engine.NextStep(); ok; next, ok = d.engine.NextStep() {
			d.recordEvents(t, d.engine.Step(next))
		}
		for id, s := range d.submitted {
			require.True(t, d.ended[id], "%s finishes, preempted or not", id)
			require.LessOrEqual(t, d.produced[id], max(s.Length, s.Produced))
		}
	})
}

func TestSameSeedSameRun(t *testing.T) {
	trace := func(seed uint64) string {
		config := testConfig()
		config.Seed, config.TotalBlocks, config.CacheLoss, config.CacheJitter = seed, 60, 0.3, time.Second
		e := New(config)
		var out []any
		for i := range 40 {
			prompt := fmt.Sprintf("%0*d", 100+i*37%1500, 0)
			require.NoError(t, e.Start(epoch, request(fmt.Sprint(i), prompt)))
		}
		for next, ok := e.NextStep(); ok; next, ok = e.NextStep() {
			out = append(out, next, append([]Event{}, e.Step(next)...))
		}
		return fmt.Sprint(out, e.CacheEvents(epoch.Add(time.Hour), 0), e.Stats())
	}
	require.Equal(t, trace(1), trace(1))
	require.NotEqual(t, trace(1), trace(2), "another seed loses other cache events")
}

package kvhttp_test

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvhttp"
	"corianderhitch/internal/platform/memstore"
)

// call is one call on the only key of a store. Since nothing else is written,
// each effective write raises the revision by one.
type call struct {
	put       bool
	condition platform.Revision
}

// result is what the caller learned of a call.
type result struct {
	revision platform.Revision
	err      error
}

// calls is the specification: states are revisions, and an outcome unknown
// allows both effects.
var calls = porcupine.NondeterministicModel{
	Init: func() []any { return []any{platform.Revision(0)} },
	Step: func(state, input, output any) []any {
		revision, c, r := state.(platform.Revision), input.(call), output.(result)
		if !c.put {
			return stay(revision, r.err != nil || r.revision == revision)
		}
		matches := c.condition == platform.AnyRevision || c.condition == revision
		switch {
		case errors.Is(r.err, platform.ErrOutcomeUnknown) && matches:
			return []any{revision, revision + 1}
		case errors.Is(r.err, platform.ErrOutcomeUnknown), errors.Is(r.err, platform.ErrUnavailable):
			return []any{revision}
		case errors.Is(r.err, platform.ErrConflict):
			return stay(revision, !matches)
		case r.err == nil && matches && r.revision == revision+1:
			return []any{revision + 1}
		}
		return nil
	},
}

func stay(revision platform.Revision, allowed bool) []any {
	if allowed {
		return []any{revision}
	}
	return nil
}

// history records calls for the checker.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation // guarded by mu
}

func (h *history) record(client int, c call, run func() result) result {
	begin := time.Since(h.start).Nanoseconds()
	r := run()
	end := time.Since(h.start).Nanoseconds()
	if errors.Is(r.err, platform.ErrOutcomeUnknown) {
		end = math.MaxInt64 // it may take effect at any time from now on
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: c, Call: begin, Output: r, Return: end})
	return r
}

// minCalls is the number of rounds of each client.
const minCalls = 60

// eventful reports whether a run has seen enough writes and lost answers.
func eventful(state *memstore.Store) bool {
	counts := state.Counts()
	return counts.Revision > 5 && counts.LostAnswers > 0
}

// work sends random reads and writes under the revision read last.
func (h *history) work(t *testing.T, client int, c *kvhttp.Client, state *memstore.Store) {
	random := rand.New(rand.NewPCG(1, uint64(client)))
	known := platform.Revision(0)
	for i := 0; i < minCalls || !eventful(state); i++ {
		switch random.IntN(6) {
		case 0:
			state.SetFault(memstore.Fault{Outage: true})
		case 1:
			state.SetFault(memstore.Fault{LoseAnswers: 0.5})
		case 2, 3:
			r := h.record(client, call{}, func() result {
				entry, err := c.Get(t.Context(), "k")
				if errors.Is(err, platform.ErrNotFound) {
					err = nil
				}
				return result{entry.Revision, err}
			})
			if r.err == nil {
				known = r.revision
			}
		default:
			put := call{put: true, condition: known}
			h.record(client, put, func() result {
				revision, err := c.Put(t.Context(), "k", nil, put.condition, 0)
				return result{revision, err}
			})
		}
	}
}

func TestCallsAreLinearizableUnderFaults(t *testing.T) {
	state, c, _ := start(t, memstore.Options{Seed: 7})
	h := &history{start: time.Now()}
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() { h.work(t, client, c, state) })
	}
	clients.Wait()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(calls.ToModel(), h.ops, 20*time.Second))
}

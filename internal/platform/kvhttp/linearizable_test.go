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

// call is a call on the only key of a store. Nothing else is written, so each write
// that takes effect raises the revision by one.
type call struct {
	put       bool
	condition platform.Revision
}

// result is what a call returned.
type result struct {
	revision platform.Revision
	err      error
}

// specification is the sequential model. Its state is the revision; a write with
// unknown outcome may have taken effect or not.
var specification = porcupine.NondeterministicModel{
	Init: func() []any { return []any{platform.Revision(0)} },
	Step: func(state, input, output any) []any {
		revision, c, r := state.(platform.Revision), input.(call), output.(result)
		if !c.put {
			return keepIf(revision, r.err != nil || r.revision == revision)
		}
		matches := c.condition == platform.AnyRevision || c.condition == revision
		switch {
		case errors.Is(r.err, platform.ErrOutcomeUnknown) && matches:
			return []any{revision, revision + 1}
		case errors.Is(r.err, platform.ErrOutcomeUnknown), errors.Is(r.err, platform.ErrUnavailable):
			return []any{revision}
		case errors.Is(r.err, platform.ErrConflict):
			return keepIf(revision, !matches)
		case r.err == nil && matches && r.revision == revision+1:
			return []any{revision + 1}
		}
		return nil
	},
}

// keepIf returns the unchanged state if the outcome is allowed.
func keepIf(revision platform.Revision, allowed bool) []any {
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

// minRounds is the number of rounds of each client.
const minRounds = 60

// hasEnoughEvents reports whether a run has seen enough writes and lost answers.
func hasEnoughEvents(state *memstore.Store) bool {
	counts := state.Counts()
	return counts.Revision > 5 && counts.LostAnswers > 0
}

// runClient makes random reads, writes conditional on the revision read last, and
// fault changes.
func (h *history) runClient(t *testing.T, client int, c *kvhttp.Client, state *memstore.Store) {
	random := rand.New(rand.NewPCG(1, uint64(client)))
	known := platform.Revision(0)
	for i := 0; i < minRounds || !hasEnoughEvents(state); i++ {
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
	state, c, _ := startStore(t, memstore.Options{Seed: 7})
	h := &history{start: time.Now()}
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() { h.runClient(t, client, c, state) })
	}
	clients.Wait()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(specification.ToModel(), h.ops, 20*time.Second))
}

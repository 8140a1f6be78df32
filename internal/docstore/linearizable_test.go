package docstore

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// Parameters of one run.
const (
	operators        = 4
	callsPerOperator = 4
	maxThinkTime     = 400 * time.Millisecond // longest pause of an operator between calls
	storeLatency     = 9 * time.Millisecond   // duration of each store call
)

// input is one call of an operator.
type input struct {
	op      opKind
	base    int64
	content string // digest of the document that an apply writes
	target  int64  // revision that a rollback restores
}

type opKind int

const (
	opRead opKind = iota
	opApply
	opRollback
)

// result is the outcome of a call as the operator sees it.
type result struct {
	kind     resultKind
	revision int64  // revision that was accepted, read, or reported by the conflict
	content  string // digest of what was read or accepted
}

type resultKind int

const (
	accepted resultKind = iota
	conflicted
	noEffect
	unknown
)

// model is the sequential specification of one environment. Its state is the list of
// contents by revision, joined to a string so that porcupine can compare states.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any { return step(state.(string), in.(input), out.(result)) },
}

func step(state string, in input, out result) []any {
	contents := strings.FieldsFunc(state, func(r rune) bool { return r == '|' })
	current := int64(len(contents))
	switch out.kind {
	case noEffect:
		return []any{state}
	case conflicted:
		if current == out.revision && in.base != current {
			return []any{state}
		}
		return nil
	}
	if in.op == opRead {
		if current == out.revision && (current == 0 || contents[current-1] == out.content) {
			return []any{state}
		}
		return nil
	}
	next, applies := applyInput(contents, in)
	if out.kind == unknown {
		if applies {
			return []any{state, next}
		}
		return []any{state}
	}
	if !applies || out.content != contentOf(next, out.revision) {
		return nil
	}
	if unchanged := in.op == opApply && current > 0 && contents[current-1] == in.content; unchanged {
		next = state
	}
	if int64(strings.Count(next, "|")) != out.revision {
		return nil
	}
	return []any{next}
}

// applyInput returns the state after a change and whether the change applies to the
// current state.
func applyInput(contents []string, in input) (string, bool) {
	if int64(len(contents)) != in.base {
		return "", false
	}
	content := in.content
	if in.op == opRollback {
		if in.target > int64(len(contents)) {
			return "", false
		}
		content = contents[in.target-1]
	}
	return strings.Join(append(slices.Clone(contents), content), "|") + "|", true
}

func contentOf(state string, revision int64) string {
	contents := strings.Split(state, "|")
	if revision < 1 || revision > int64(len(contents)) {
		return ""
	}
	return contents[revision-1]
}

// runOperators runs concurrent operators against a store with faults and returns the
// history of their calls, and the error of a final read.
func runOperators(t *testing.T, seed uint64, faultPercent int) (history []porcupine.Operation, final error) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstore.New(memstore.Options{})
		inner.SetFault(memstore.Fault{RequestDelay: storeLatency}) // lets steps of different calls interleave
		d := example(t, "trial")
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, 1))
		store := &faultyStore{Store: inner, fault: func(int) fault {
			mu.Lock()
			defer mu.Unlock()
			if random.IntN(100) >= faultPercent {
				return noFault
			}
			return fault(1 + random.IntN(4))
		}}
		var done sync.WaitGroup
		for id := range operators {
			done.Go(func() {
				docs := New(store)
				docs.inlineBytes, docs.minKept = 0, 0 // so that reads need chunks, which Prune may remove
				o := &operator{id: id, docs: docs, random: rand.New(rand.NewPCG(seed, uint64(id)+2)), base: d}
				for range callsPerOperator {
					time.Sleep(time.Duration(o.random.Int64N(int64(maxThinkTime))))
					if o.random.IntN(3) == 0 {
						_, _ = o.docs.Prune(t.Context(), PruneRequest{Environment: "trial"})
					}
					operation := o.call(t)
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		done.Wait()
		store.delayed.Wait()
		last := &operator{id: operators, docs: New(inner), base: d}
		history = append(history, last.read(t))
		final = last.err
	})
	return history, final
}

// operator makes random calls on a store.
type operator struct {
	id     int
	docs   *Store
	random *rand.Rand
	base   document.Document
	seen   int64 // revision that the operator last read
	err    error // of the last read
	serial int
}

func (o *operator) call(t *testing.T) porcupine.Operation {
	switch kind := o.random.IntN(10); {
	case kind < 3 || o.seen == 0 && kind < 5:
		return o.read(t)
	case kind < 8 || o.seen == 0:
		o.serial++
		d := variant(o.base, o.id*100+o.serial%3)
		body, _ := document.Encode(d)
		in := input{op: opApply, base: o.seen, content: digest(body)}
		return o.change(in, func() (document.Accepted, error) {
			return o.docs.Apply(t.Context(), request(d, in.base))
		})
	}
	in := input{op: opRollback, base: o.seen, target: 1 + o.random.Int64N(o.seen)}
	return o.change(in, func() (document.Accepted, error) {
		return o.docs.Rollback(t.Context(), RollbackRequest{Environment: "trial", ToRevision: in.target, Base: in.base})
	})
}

func (o *operator) read(t *testing.T) porcupine.Operation {
	start := time.Now().UnixNano()
	current, _, err := o.docs.Current(t.Context(), "trial")
	o.err = err
	out := result{kind: noEffect}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		out = result{kind: accepted}
	case err == nil:
		out = result{kind: accepted, revision: current.Revision, content: contentDigest(current)}
		o.seen = current.Revision
	}
	return porcupine.Operation{ClientId: o.id, Input: input{op: opRead}, Output: out, Call: start, Return: time.Now().UnixNano()}
}

func (o *operator) change(in input, do func() (document.Accepted, error)) porcupine.Operation {
	start := time.Now().UnixNano()
	after, err := do()
	end := time.Now().UnixNano()
	var conflict *ConflictError
	var unknownErr *OutcomeUnknownError
	out := result{kind: noEffect}
	switch {
	case err == nil:
		out = result{kind: accepted, revision: after.Revision, content: contentDigest(after)}
		o.seen = after.Revision
	case errors.As(err, &conflict):
		out = result{kind: conflicted, revision: conflict.Current}
		o.seen = conflict.Current
	case errors.As(err, &unknownErr):
		out = result{kind: unknown}
		end = 1 << 62 // may take effect at any later time
	}
	return porcupine.Operation{ClientId: o.id, Input: in, Output: out, Call: start, Return: end}
}

func contentDigest(a document.Accepted) string {
	body, _ := document.Encode(a.Document)
	return digest(body)
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faultPercent := rapid.IntRange(0, 60).Draw(rt, "faulty writes in 100")
		history, err := runOperators(t, seed, faultPercent)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			rt.Fatalf("seed %d: the document in force cannot be read: %v", seed, err)
		}
		if !porcupine.CheckOperations(model.ToModel(), history) {
			rt.Fatalf("seed %d: not linearizable: %+v", seed, history)
		}
	})
}

func TestModelRejectsLostUpdate(t *testing.T) {
	apply := func(id int, content string, revision int64) porcupine.Operation {
		return porcupine.Operation{
			ClientId: id,
			Input:    input{op: opApply, base: 0, content: content},
			Output:   result{kind: accepted, revision: revision, content: content},
			Call:     0, Return: 10,
		}
	}
	require.False(t, porcupine.CheckOperations(model.ToModel(), []porcupine.Operation{apply(1, "a", 1), apply(2, "b", 1)}))
	require.True(t, porcupine.CheckOperations(model.ToModel(), []porcupine.Operation{apply(1, "a", 1)}))
}

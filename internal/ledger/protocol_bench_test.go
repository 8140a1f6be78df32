package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
)

// oneWayDelay is the injected delay of each direction of a store call. A real store
// answers within milliseconds.
const oneWayDelay = 1 * time.Millisecond

// protocol runs the nth call and returns when its caller would have its answer.
type protocol func(b *testing.B, s *memstore.Store, n int)

func put(b *testing.B, s *memstore.Store, key string, expect platform.Revision) platform.Revision {
	revision, err := s.Put(context.Background(), key, []byte("record"), expect, 0)
	require.NoError(b, err)
	return revision
}

// claimOutcome is the protocol of this package: claim, call, outcome.
func claimOutcome(l *Ledger) protocol {
	return func(b *testing.B, _ *memstore.Store, n int) {
		decision, err := l.Claim(b.Context(), Call{Account: "a", Key: fmt.Sprint(n), BodyHash: "h"})
		require.NoError(b, err)
		decision.Claim.Complete(Outcome{Status: 200})
	}
}

// claimThenAnswer answers the caller before the outcome is stored.
func claimThenAnswer(b *testing.B, s *memstore.Store, n int) {
	revision := put(b, s, fmt.Sprint("k", n), platform.Absent)
	go func() { _, _ = s.Put(context.Background(), fmt.Sprint("k", n), []byte("record"), revision, 0) }()
}

// prepareDecide is two-phase commit with both parties' records in the store: the
// participant's prepared record, the coordinator's decision, the call, and the
// commit of both. An absent decision means abort.
func prepareDecide(b *testing.B, s *memstore.Store, n int) {
	prepared := put(b, s, fmt.Sprint("p", n), platform.Absent)
	decided := put(b, s, fmt.Sprint("d", n), platform.Absent)
	put(b, s, fmt.Sprint("p", n), prepared)
	require.NoError(b, s.Delete(context.Background(), fmt.Sprint("d", n), decided))
}

// prepareDecideOutcome is prepareDecide without the removal of the decision, which
// needn't delay the caller.
func prepareDecideOutcome(b *testing.B, s *memstore.Store, n int) {
	prepared := put(b, s, fmt.Sprint("p", n), platform.Absent)
	put(b, s, fmt.Sprint("d", n), platform.Absent)
	put(b, s, fmt.Sprint("p", n), prepared)
}

// prepareDecidePoll is prepareDecideOutcome with one poll of the decision by the
// participant.
func prepareDecidePoll(b *testing.B, s *memstore.Store, n int) {
	prepareDecideOutcome(b, s, n)
	_, err := s.Get(context.Background(), fmt.Sprint("d", n))
	require.NoError(b, err)
}

// BenchmarkProtocols measures the store calls and the latency that each protocol of
// docs/design/002-call-ledger.md adds to a non-idempotent call.
func BenchmarkProtocols(b *testing.B) {
	protocols := []struct {
		name string
		make func(*memstore.Store) protocol
	}{
		{"claim-outcome", func(s *memstore.Store) protocol { return claimOutcome(testLedger(s, "h")) }},
		{"claim-then-answer", func(*memstore.Store) protocol { return claimThenAnswer }},
		{"prepare-decide-commit", func(*memstore.Store) protocol { return prepareDecide }},
		{"prepare-decide-outcome", func(*memstore.Store) protocol { return prepareDecideOutcome }},
		{"prepare-decide-poll", func(*memstore.Store) protocol { return prepareDecidePoll }},
	}
	for _, p := range protocols {
		b.Run(p.name, func(b *testing.B) {
			store := memstore.New(memstore.Options{})
			store.SetFault(memstore.Fault{RequestDelay: oneWayDelay, AnswerDelay: oneWayDelay})
			run := p.make(store)
			run(b, store, -1) // creates the lease
			before, start := store.Counts(), time.Now()
			for n := range b.N {
				run(b, store, n)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/float64(b.N), "µs/call")
			time.Sleep(10 * oneWayDelay) // wait for writes that follow the answer
			after := store.Counts()
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/call")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/call")
		})
	}
}

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

// oneWay is the injected delay of each direction of a store call. The store
// answers in milliseconds.
const oneWay = 1 * time.Millisecond

// protocol runs one call of a key and returns when its caller has its answer.
type protocol func(b *testing.B, s *memstore.Store, n int)

func put(b *testing.B, s *memstore.Store, key string, expect platform.Revision) platform.Revision {
	revision, err := s.Put(context.Background(), key, []byte("record"), expect, 0)
	require.NoError(b, err)
	return revision
}

// claimOutcome is this package: claim, call, outcome.
func claimOutcome(l *Ledger) protocol {
	return func(b *testing.B, _ *memstore.Store, n int) {
		decision, err := l.Claim(b.Context(), Call{Account: "a", Key: fmt.Sprint(n), BodyHash: "h"})
		require.NoError(b, err)
		decision.Claim.Complete(Outcome{Status: 200})
	}
}

// claimOnly answers before the outcome is kept.
func claimOnly(b *testing.B, s *memstore.Store, n int) {
	revision := put(b, s, fmt.Sprint("k", n), platform.Absent)
	go func() { _, _ = s.Put(context.Background(), fmt.Sprint("k", n), []byte("record"), revision, 0) }()
}

// prepareDecide follows the paper with the store in the place of the clusters:
// the participant's prepared record, the coordinator's decision, the call, and
// the commit of both. The absent decision means abort.
func prepareDecide(b *testing.B, s *memstore.Store, n int) {
	prepared := put(b, s, fmt.Sprint("p", n), platform.Absent)
	decided := put(b, s, fmt.Sprint("d", n), platform.Absent)
	put(b, s, fmt.Sprint("p", n), prepared)
	require.NoError(b, s.Delete(context.Background(), fmt.Sprint("d", n), decided))
}

// prepareDecideOutcome drops the removal of the decision from the caller's path.
func prepareDecideOutcome(b *testing.B, s *memstore.Store, n int) {
	prepared := put(b, s, fmt.Sprint("p", n), platform.Absent)
	put(b, s, fmt.Sprint("d", n), platform.Absent)
	put(b, s, fmt.Sprint("p", n), prepared)
}

// prepareDecidePoll adds one poll of the decision by the participant.
func prepareDecidePoll(b *testing.B, s *memstore.Store, n int) {
	prepareDecideOutcome(b, s, n)
	_, err := s.Get(context.Background(), fmt.Sprint("d", n))
	require.NoError(b, err)
}

// BenchmarkProtocols counts the store's calls and the added latency of a call
// that may not be repeated, for the protocols of docs/design/002-call-ledger.md.
func BenchmarkProtocols(b *testing.B) {
	protocols := []struct {
		name string
		make func(*memstore.Store) protocol
	}{
		{"claim-outcome", func(s *memstore.Store) protocol { return claimOutcome(testLedger(s, "h")) }},
		{"claim-then-answer", func(*memstore.Store) protocol { return claimOnly }},
		{"prepare-decide-commit", func(*memstore.Store) protocol { return prepareDecide }},
		{"prepare-decide-outcome", func(*memstore.Store) protocol { return prepareDecideOutcome }},
		{"prepare-decide-poll", func(*memstore.Store) protocol { return prepareDecidePoll }},
	}
	for _, p := range protocols {
		b.Run(p.name, func(b *testing.B) {
			store := memstore.New(memstore.Options{})
			store.SetFault(memstore.Fault{RequestDelay: oneWay, AnswerDelay: oneWay})
			run := p.make(store)
			run(b, store, -1) // the lease is there
			before, start := store.Counts(), time.Now()
			for n := range b.N {
				run(b, store, n)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/float64(b.N), "µs/call")
			time.Sleep(10 * oneWay) // writes behind the answer
			after := store.Counts()
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/call")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/call")
		})
	}
}

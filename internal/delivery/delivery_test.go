package delivery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/api/completion"
	"corianderhitch/api/problem"
	"corianderhitch/internal/gateway/api"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// hosts is the list of alive hosts that all services of a test share.
type hosts struct {
	mu    sync.Mutex
	alive []string // guarded by mu
}

func (h *hosts) set(alive ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.alive = alive
}

func (h *hosts) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.alive...)
}

var lateRequest = completion.Request{Model: "writer", Prompt: "brief", Delivery: completion.DeliveryLate}

func newService(store *memstore.Store, host string, h *hosts, run RunFunc) *Service {
	return New(store, Settings{
		Host: host, WritesPerSec: 300, MaxConcurrent: 4, StoreTimeout: time.Second,
		ScanInterval: time.Second, RetryDelay: 100 * time.Millisecond,
		MaxAge:          func() time.Duration { return 72 * time.Hour },
		PendingLimit:    func(string) int { return 0 },
		AliveHosts:      h.list,
		AnswerRetention: func() time.Duration { return 72 * time.Hour },
	}, run, logging.Discard())
}

// respondWith returns a RunFunc that counts its runs and answers with the host's
// name.
func respondWith(host string, runs *atomic.Int32) RunFunc {
	return func(context.Context, string, string, completion.Request, uint64) Outcome {
		runs.Add(1)
		return Outcome{Response: &completion.Response{Choices: []completion.Choice{{Text: host}}}}
	}
}

// runUntilCanceled is a RunFunc that ends when its context does.
func runUntilCanceled(ctx context.Context, _, _ string, _ completion.Request, _ uint64) Outcome {
	<-ctx.Done()
	return Outcome{Err: problem.New(problem.KindDraining, http.StatusServiceUnavailable, problem.RanUnknown, "wait", "killed")}
}

func accept(t *testing.T, s *Service, id string) {
	t.Helper()
	status, err := s.Accept(context.Background(), "a", id, lateRequest, 1)
	require.NoError(t, err)
	require.Equal(t, completion.LatePending, status.State)
}

func fetch(t *testing.T, s *Service, id string) api.LateAnswer {
	t.Helper()
	answer, err := s.Fetch(context.Background(), "a", id)
	require.NoError(t, err)
	return answer
}

// stopImmediately cancels all runs and stops the service, as a crash would.
func stopImmediately(s *Service) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Stop(ctx)
}

func TestAnswerIsReadyForItsAccountOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		var runs atomic.Int32
		s := newService(store, "one", h, respondWith("one", &runs))
		accept(t, s, "d")
		synctest.Wait()
		answer := fetch(t, s, "d")
		require.Equal(t, completion.LateReady, answer.State)
		require.Contains(t, string(answer.Body), `"one"`)
		_, err := s.Fetch(t.Context(), "b", "d")
		require.ErrorIs(t, err, api.ErrLateNotFound)
		status, err := s.Accept(t.Context(), "a", "d", lateRequest, 1)
		require.NoError(t, err)
		require.Equal(t, completion.LateReady, status.State)
		_, err = s.Accept(t.Context(), "a", "d", lateRequest, 2)
		require.Equal(t, problem.KindKeyReused, problem.From(err).Kind)
		require.EqualValues(t, 1, runs.Load())
		s.Stop(t.Context())
	})
}

func TestPendingRequestSurvivesTheReplacementOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one", "two"}}
		one, two := newService(store, "one", h, runUntilCanceled), newService(store, "two", h, runUntilCanceled)
		for i := range 20 {
			accept(t, []*Service{one, two}[i%2], fmt.Sprint("d", i))
		}
		stopImmediately(one)
		stopImmediately(two)
		h.set("three", "four")
		var runs atomic.Int32
		three, four := newService(store, "three", h, respondWith("three", &runs)), newService(store, "four", h, respondWith("four", &runs))
		three.Start()
		four.Start()
		time.Sleep(time.Minute)
		for i := range 20 {
			require.Equal(t, completion.LateReady, fetch(t, three, fmt.Sprint("d", i)).State, "request %d", i)
		}
		require.EqualValues(t, 20, runs.Load())
		three.Stop(t.Context())
		four.Stop(t.Context())
	})
}

func TestRestartedHostRunsItsOwnRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one", "two"}}
		first := newService(store, "one", h, runUntilCanceled)
		for i := range 8 {
			accept(t, first, fmt.Sprint("d", i))
		}
		stopImmediately(first)
		var runs atomic.Int32
		again := newService(store, "one", h, respondWith("one", &runs))
		again.Start()
		time.Sleep(time.Minute)
		require.EqualValues(t, 8, runs.Load())
		again.Stop(t.Context())
	})
}

func TestFirstStoredAnswerOfTwoRunnersWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		release := make(chan struct{})
		slow := func(context.Context, string, string, completion.Request, uint64) Outcome {
			<-release
			return Outcome{Response: &completion.Response{Choices: []completion.Choice{{Text: "slow"}}}}
		}
		var runs atomic.Int32
		one, two := newService(store, "one", h, slow), newService(store, "two", h, respondWith("fast", &runs))
		accept(t, one, "d")
		h.set("two") // "one" hangs and is no longer listed as alive
		two.AdoptOrphans(t.Context())
		synctest.Wait()
		before := fetch(t, two, "d")
		close(release)
		synctest.Wait()
		require.Equal(t, before, fetch(t, two, "d"))
		require.Contains(t, string(before.Body), "fast")
		one.Stop(t.Context())
		two.Stop(t.Context())
	})
}

func TestStoreOutageDelaysAnswersWithoutLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		release := make(chan struct{})
		s := newService(store, "one", h, func(context.Context, string, string, completion.Request, uint64) Outcome {
			<-release
			return Outcome{Response: &completion.Response{ID: "d"}}
		})
		accept(t, s, "d")
		store.SetFault(memstore.Fault{Outage: true})
		close(release)
		_, err := s.Accept(t.Context(), "a", "other", lateRequest, 1)
		require.Equal(t, problem.KindStoreUnavailable, problem.From(err).Kind)
		time.Sleep(10 * time.Minute)
		store.SetFault(memstore.Fault{LoseNext: 3})
		time.Sleep(time.Minute)
		require.Equal(t, completion.LateReady, fetch(t, s, "d").State)
		require.Empty(t, listPending(t, s))
		s.Stop(t.Context())
	})
}

func TestRequestWithUnconfirmedRecordIsRunLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one", "two"}}
		var runs atomic.Int32
		s := newService(store, "one", h, respondWith("one", &runs))
		s.Start()
		time.Sleep(3 * time.Second) // the search for requests of an earlier process is over
		store.SetFault(memstore.Fault{RequestDelay: 10 * time.Second, Prefix: keyRoot + "pending"})
		_, err := s.Accept(t.Context(), "a", "d", lateRequest, 1)
		require.Equal(t, problem.RanUnknown, problem.From(err).Ran)
		time.Sleep(8 * time.Second) // the delayed write takes effect
		store.SetFault(memstore.Fault{})
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, runs.Load())
		require.Equal(t, completion.LateReady, fetch(t, s, "d").State)
		s.Stop(t.Context())
	})
}

func listPending(t *testing.T, s *Service) []pendingRecord {
	t.Helper()
	var all []pendingRecord
	for shard := range shards {
		found, _, err := s.repository.scan(context.Background(), shard, "", scanPage)
		require.NoError(t, err)
		all = append(all, found...)
	}
	return all
}

func TestLargeAnswerIsStoredInChunks(t *testing.T) {
	store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, 4<<20)
	for i := range text {
		text[i] = byte('!' + random.IntN(90))
	}
	done := make(chan struct{})
	s := newService(store, "one", h, func(context.Context, string, string, completion.Request, uint64) Outcome {
		defer close(done)
		return Outcome{Response: &completion.Response{Choices: []completion.Choice{{Text: string(text)}}}}
	})
	accept(t, s, "d")
	<-done
	s.Stop(t.Context())
	answer := fetch(t, s, "d")
	require.Greater(t, len(answer.Body), len(text))
	require.Contains(t, string(answer.Body), `"choices"`)
}

func TestCanceledRequestIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		var runs atomic.Int32
		s := newService(store, "one", h, func(context.Context, string, string, completion.Request, uint64) Outcome {
			runs.Add(1)
			return Outcome{Err: overBudget(time.Second)}
		})
		accept(t, s, "d")
		synctest.Wait()
		require.NoError(t, s.Cancel(t.Context(), "a", "d"))
		require.ErrorIs(t, s.Cancel(t.Context(), "b", "d"), api.ErrLateNotFound)
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, runs.Load())
		require.Equal(t, completion.LateFailed, fetch(t, s, "d").State)
		s.Stop(t.Context())
	})
}

func TestBudgetRejectionIsNotRunAndHasRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one", "two"}}
		var runs atomic.Int32
		s := newService(store, "one", h, respondWith("one", &runs))
		accepted := func(account string) (n int) {
			for {
				_, err := s.Accept(t.Context(), account, fmt.Sprint("d", n), lateRequest, 1)
				if err != nil {
					rejection := problem.From(err)
					require.Equal(t, problem.RanNo, rejection.Ran)
					require.NotZero(t, rejection.RetryAfter)
					return n
				}
				n++
			}
		}
		// 300 writes/s over two hosts at three writes a request: a burst of 50, of
		// which one account may use half.
		require.Equal(t, 25, accepted("a"))
		require.Equal(t, 25, accepted("b"))
		require.Zero(t, accepted("c"))
		synctest.Wait()
		require.EqualValues(t, 50, runs.Load())
		s.Stop(t.Context())
	})
}

// An answer above the bound must not be cut without a word: the caller would take the part
// for the whole.
func TestOversizedAnswerIsUnreadable(t *testing.T) {
	_, err := decompress(compress(make([]byte, maxAnswerBytes+1)))
	require.ErrorIs(t, err, errUnreadableRecord)
	body, err := decompress(compress(make([]byte, maxAnswerBytes)))
	require.NoError(t, err)
	require.Len(t, body, maxAnswerBytes)
}

func TestDrainingHostStartsAndAdoptsNothing(t *testing.T) {
	for _, draining := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one", "two"}}
			var runs atomic.Int32
			answer := make(chan struct{})
			s := newService(store, "one", h, func(context.Context, string, string, completion.Request, uint64) Outcome {
				runs.Add(1)
				<-answer
				return Outcome{Response: &completion.Response{}}
			})
			s.Start()
			gone := newService(store, "gone", h, runUntilCanceled)
			accept(t, gone, "orphan")
			synctest.Wait()
			stopImmediately(gone)
			accept(t, s, "running")
			synctest.Wait()
			if draining {
				s.Drain()
			}
			h.set("one")
			accept(t, s, "new")
			time.Sleep(10 * time.Second)
			want := map[bool]int32{false: 3, true: 1}[draining]
			require.Equal(t, want, runs.Load(), "draining: %t", draining)
			close(answer)
			synctest.Wait()
			require.Equal(t, completion.LateReady, fetch(t, s, "running").State, "what runs is finished")
			s.Stop(t.Context())
		})
	}
}

func TestHostThatKnowsOnlyItselfRejectsFirstLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		var runs atomic.Int32
		s := newService(store, "one", h, respondWith("one", &runs))
		var callers sync.WaitGroup
		for i := range 4 {
			callers.Go(func() { accept(t, s, fmt.Sprint("d", i)) })
		}
		callers.Wait()
		synctest.Wait()
		require.EqualValues(t, 4, runs.Load())
		s.Stop(t.Context())
	})
}

func TestStartingHostRejectsWhatExceedsItsRateAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		var runs atomic.Int32
		s := newService(store, "one", h, respondWith("one", &runs))
		begin := time.Now()
		var accepted, rejected atomic.Int32
		var callers sync.WaitGroup
		for i := range 200 {
			callers.Go(func() {
				_, err := s.Accept(t.Context(), "a", fmt.Sprint("d", i), lateRequest, 1)
				if err == nil {
					accepted.Add(1)
					return
				}
				rejected.Add(1)
				require.Zero(t, time.Since(begin), "a rejected request must not wait")
				require.Positive(t, problem.From(err).RetryAfter)
			})
		}
		callers.Wait()
		require.EqualValues(t, 300/writesPerRequest, accepted.Load(), "what the rate allows in a second")
		require.LessOrEqual(t, time.Since(begin), time.Second)
		require.EqualValues(t, 200, accepted.Load()+rejected.Load())
		s.Stop(t.Context())
	})
}

func TestCallerThatLeavesWhileItWaitsFreesItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, h := memstore.New(memstore.Options{}), &hosts{alive: []string{"one"}}
		var runs atomic.Int32
		s := newService(store, "one", h, respondWith("one", &runs))
		accept(t, s, "first")
		ctx, leave := context.WithCancel(t.Context())
		var caller sync.WaitGroup
		caller.Go(func() {
			_, err := s.Accept(ctx, "a", "second", lateRequest, 1)
			require.Equal(t, problem.RanNo, problem.From(err).Ran)
		})
		synctest.Wait()
		leave()
		caller.Wait()
		synctest.Wait()
		require.EqualValues(t, 1, runs.Load())
		require.Zero(t, s.budget.accounts["a"].requests)
		require.Zero(t, s.budget.bytes)
		s.Stop(t.Context())
	})
}

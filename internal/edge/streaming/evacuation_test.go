package streaming

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

// evacuatingServer is placingServer without room at its engine, whose failure domain can be evacuated.
func evacuatingServer() (*Server, *Run, *evacuation.Holder) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
	holder := evacuation.NewHolder(slog.New(slog.DiscardHandler), func(int64) bool { return true })
	s.Targets.ExcludeEvacuated(holder)
	holder.Replace(nil, 1, true, "test")
	s.Targets.Apply([]targets.Change{{Name: "e", Target: &targets.Target{ID: "e", Service: "s", Domain: "d"}}}, 1)
	return s, r, holder
}

// Runs that waited for room when the last domain was evacuated waited on until their time was up.
func TestWaitingRunIsRejectedAtOnceWhenAllDomainsAreEvacuated(t *testing.T) {
	s, r, holder := evacuatingServer()
	time.AfterFunc(50*time.Millisecond, func() {
		holder.Replace([]string{"d"}, 2, true, "test")
		s.Inflight.Add("other", inflight.Load{Runs: 1}) // wakes the queue
	})
	started := time.Now()
	_, rejection := s.start(t.Context(), r)
	require.Less(t, time.Since(started), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
	require.Equal(t, edge.ReasonNoTarget, rejection.Reason)
}

// A run whose engine crashed after its replica's domain had been evacuated must not continue there, and
// no final copy may be asked for: the engine client of this server panics.
func TestRunDoesNotContinueFromAReplicaInAnEvacuatedDomain(t *testing.T) {
	s, r, holder := evacuatingServer()
	s.Engines, s.Runs = releasingOnly{}, NewRuns(func(*Run, string) {})
	source, dest := &targets.Target{ID: "source"}, s.Targets.View().Get("e@0")
	s.Inflight.Add(dest.Key(), inflight.Load{Runs: 1})
	r.replica = &Replica{Source: source, Dest: dest, Reserved: inflight.Load{Runs: 1}}
	holder.Replace([]string{"d"}, 2, true, "test")
	next, reason := r.nextSegment(t.Context(), &segment{target: source}, io.ErrUnexpectedEOF)
	require.Nil(t, next)
	require.Equal(t, brokenOff, reason)
	require.Zero(t, s.Inflight.TotalLoad(dest.Key()).Runs)
}

// releasingOnly is an engine client that panics when it is asked for a copy.
type releasingOnly struct{ edge.EngineClient }

func (releasingOnly) Release(context.Context, *targets.Target, string) error { return nil }

// A refusal took a retry from the budget although nothing was sent.
func TestRetryThatEndsAtEvacuatedEnginesIsGivenBack(t *testing.T) {
	for name, c := range map[string]struct {
		failures []error
		returned bool
	}{
		"evacuated engines only":            {[]error{targetconn.ErrEvacuated, targetconn.ErrEvacuated}, true},
		"one that was not reached":          {[]error{targetconn.ErrEvacuated, targetconn.ErrNotSent}, false},
		"one that may have run the request": {[]error{targetconn.ErrEvacuated, targetconn.ErrBroken}, false},
		"none":                              {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, r, _ := evacuatingServer()
			budget := retrybudget.New(1, 0, time.Minute, bootclock.Now(), func() int { return 1 })
			for range 100 {
				budget.RecordRequest()
			}
			s.RetryBudget = func(string) *retrybudget.Budget { return budget }
			r.call.Route.MaxAttempts = 3
			require.True(t, s.takeAttempt(r))
			engine := &targets.Target{}
			for i, err := range c.failures {
				engine.ID = string(rune('a' + i))
				r.attempts.tried[engine.Key()] = true
				s.startFailure(t.Context(), r, engine, bootclock.Now(), refusedWith(err))
			}
			s.returnUnusedRetry(r)
			s.returnUnusedRetry(r)
			want := 1
			if c.returned {
				want = 0
			}
			require.Equal(t, want, budget.TakeRetry().Retries)
		})
	}
}

// refusedWith returns err, for ErrEvacuated an error like that of the gate, which matches ErrRefused too.
func refusedWith(err error) error {
	if err == targetconn.ErrEvacuated {
		return evacuated{}
	}
	return err
}

type evacuated struct{}

func (evacuated) Error() string { return "evacuated" }

func (evacuated) Is(target error) bool {
	return target == targetconn.ErrEvacuated || target == targetconn.ErrRefused || target == targetconn.ErrNotSent
}

package streaming

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/retrybudget"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

func TestTakeoverWithoutAnotherEngineUsesRetryBudget(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return false })
	budget := retrybudget.New(50, 0, 10*time.Second, bootclock.Now(), func() int { return 1 })
	budget.RecordRequest()
	s.RetryBudget = func(string) *retrybudget.Budget { return budget }
	r.call.Route.Resumable, r.call.Route.MaxAttempts = true, 2
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		require.Nil(t, r.startBeside(ctx, s.Targets.View().Available("s")[0]))
		cancel()
	}
	require.Zero(t, budget.TakeRetry().Retries)
	require.True(t, r.MayRestart())
}

// unreachable returns an address that refuses connections. Its port is not free for others.
func unreachable(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", address.(*unix.SockaddrInet4).Port)
}

// The run goes on at its engine, which may still answer that it did not run the request.
func TestFailedTakeoverCountsAsAttempt(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	s.RetryBudget = func(string) *retrybudget.Budget {
		b := retrybudget.New(50, 0, 10*time.Second, bootclock.Now(), func() int { return 1 })
		b.RecordRequest()
		return b
	}
	s.Sender = &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(nil, openGate{}, func(string) float64 { return 0 })}
	r.call.StillAuthorized = func(context.Context) bool { return true }
	r.call.Route.Resumable, r.call.Route.MaxAttempts = true, 2
	s.Targets.View().Available("s")[0].Address = unreachable(t)
	require.Nil(t, r.startBeside(t.Context(), &targets.Target{ID: "source"}), "the other engine cannot be reached")
	require.Zero(t, r.attempts.sends.Load())
	require.False(t, r.attempts.mayHaveRun)
}

// openGate refuses no sends.
type openGate struct{}

func (openGate) Check(string, *targetconn.Request) targetnotice.Verdict { return targetnotice.Allowed }

func (openGate) Admit(string, *targetconn.Request) (targetnotice.Verdict, func(bool)) {
	return targetnotice.Allowed, func(bool) {}
}

func (openGate) Observe(string, string, *targetconn.Request, int, http.Header, bool) bool {
	return false
}

// openSegment returns the segment of an engine that has sent its head, and counts its load.
func openSegment(t *testing.T, s *Server, target *targets.Target) *segment {
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(engine.Close)
	pool := targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })
	address := strings.TrimPrefix(engine.URL, "http://")
	response, err := pool.Do(t.Context(), target.Key(), address, &targetconn.Request{Method: http.MethodGet, URI: "/", Host: "e"})
	require.NoError(t, err)
	load := inflight.Load{Runs: 1}
	s.Inflight.Add(target.Key(), load)
	return &segment{target: target, load: load, response: response, cancel: func() {}}
}

func TestEndOfStreamDoesNotAwaitTakeover(t *testing.T) {
	for name, test := range map[string]struct {
		err       error
		continues bool
	}{
		"complete":    {io.EOF, false},
		"caller gone": {errCallerGone, false},
		"broken off":  {io.ErrUnexpectedEOF, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
			s.Engines = stoppingClient{}
			dest := &targets.Target{ID: "d"}
			next := openSegment(t, s, dest)
			taking := &takeover{source: &segment{target: &targets.Target{ID: "s"}}, done: make(chan struct{})}
			taking.ctx, taking.cancel = context.WithCancel(t.Context())
			defer taking.cancel()
			r.takeover, r.segment = taking, &segment{}
			time.AfterFunc(20*time.Millisecond, func() {
				taking.next = next
				close(taking.done)
			})
			got := r.endTakeover(test.err)
			require.Equal(t, test.continues, got == next)
			require.Equal(t, test.continues, got != nil)
			require.Equal(t, test.continues, taking.ctx.Err() == nil, "a run that has ended is not started elsewhere")
			require.Equal(t, test.continues, s.Inflight.TotalLoad(dest.Key()).Runs == 1)
			require.Nil(t, r.takeover)
			require.Nil(t, r.segment, "no other takeover may begin")
		})
	}
}

func TestContinuationThatIsTriedAgainLosesItsLoad(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	s.Sender = &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(nil, openGate{}, func(string) float64 { return 0 })}
	dest, load := &targets.Target{ID: "d", Service: "s", Address: unreachable(t)}, inflight.Load{Runs: 1, Tokens: 10}
	s.Targets.Apply([]targets.Change{{Name: "d", Target: dest}}, 2)
	s.Inflight.Add(dest.Key(), load)
	ctx, cancel := context.WithTimeout(t.Context(), 3*resumeRetryInterval)
	defer cancel()
	require.Nil(t, r.resume(ctx, &memoryHolder{target: dest, load: load, counted: true}))
	require.Equal(t, inflight.Load{}, s.Inflight.TotalLoad(dest.Key()))
}

func TestReplicaMadeDuringTakeoverIsKept(t *testing.T) {
	_, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	source := &targets.Target{ID: "s"}
	r.target, r.takeover = source, &takeover{}
	require.False(t, r.setReplica(&Replica{Source: source}, nil))
	r.takeover = nil
	require.True(t, r.setReplica(&Replica{Source: source}, nil))
}

func TestTakeoverBeginsAtWrongTime(t *testing.T) {
	for name, prepare := range map[string]func(*Run){
		"final copy in progress": func(r *Run) { r.replica.state = replicaMoving },
		"right after another":    func(r *Run) { r.nextTakeover = bootclock.Now().Add(time.Second) },
		"stream has ended":       func(r *Run) { r.segment = nil },
		"nothing to go on from":  func(r *Run) { r.replica = nil },
	} {
		t.Run(name, func(t *testing.T) {
			_, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
			r.ctx, r.segment, r.replica = t.Context(), &segment{}, &Replica{}
			prepare(r)
			r.LeaveSilentEngine()
			require.Nil(t, r.takeover)
		})
	}
}

func TestHubFindsNoEngineWhenAllSeemToFail(t *testing.T) {
	for failing, want := range map[int]string{0: "e-0", 1: "e-1", 2: "e-2", 3: "e-0"} {
		t.Run(fmt.Sprint(failing, " failing"), func(t *testing.T) {
			s, r := placingServer(draining.New(placingDrain), silentObserver{}, nil)
			s.Targets.Apply([]targets.Change{{Name: "e"}}, 2)
			var engines []*targets.Target
			for i := range 3 {
				e := &targets.Target{ID: fmt.Sprintf("e-%d", i), Service: "s", Address: "127.0.0.1:1"}
				s.Targets.Apply([]targets.Change{{Name: e.ID, Target: e}}, 3)
				engines = append(engines, e)
			}
			for _, e := range engines[:failing] {
				for range 5 {
					s.Health.RecordFailure(e.Key(), 1)
				}
			}
			s.PlaceViaHub = func(_ context.Context, args peers.PlaceArgs) (peers.PlaceReply, bool) {
				for _, e := range engines {
					if !slices.Contains(args.Tried, e.Key()) {
						reply := peers.PlaceReply{Able: true}
						reply.Target = e.Key()
						return reply, true
					}
				}
				return peers.PlaceReply{Able: true}, true
			}
			placed := s.ReserveEngine(t.Context(), r.call.Service, placement.Requirements{}, inflight.Load{Runs: 1}, nil)
			require.NotNil(t, placed.Target)
			require.Equal(t, want, placed.Target.ID)
		})
	}
}

// busyEngine answers that it copies the run already, until the third call.
type busyEngine struct {
	edge.EngineClient
	calls int
}

func (e *busyEngine) Move(context.Context, *targets.Target, string, *targets.Target, bool) edge.MoveReply {
	if e.calls++; e.calls < 3 {
		return edge.MoveReply{Result: edge.MoveBusy}
	}
	return edge.MoveReply{Result: edge.MoveNoRun}
}

func TestRunIsNotStoppedAtEngineThatCopiesIt(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	engine := &busyEngine{}
	s.Engines = engine
	_, stopped := r.stopAt(&targets.Target{ID: "s"}, &targets.Target{ID: "d"}, stopAfterBreak, true).await(t.Context(), time.Second)
	require.True(t, stopped)
	require.Equal(t, 3, engine.calls)
}

func TestCompletedRunIsContinuedAtTheDestination(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	s.Engines, s.Runs = releasingClient{}, NewRuns(func(*Run, string) {})
	r.call.Call.Method, r.call.Call.URI, r.call.Call.Host = http.MethodGet, "/", "e"
	asked := make(chan struct{}, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked <- struct{}{} }))
	defer engine.Close()
	s.Sender = &edge.Sender{Wire: acceptingWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })}
	dest := &targets.Target{ID: "d", Address: strings.TrimPrefix(engine.URL, "http://")}
	replica := &Replica{Source: &targets.Target{ID: "s"}, Dest: dest, final: endedFinalCopy(edge.MoveReply{Result: edge.MoveUnknown})}
	ended := &segment{target: replica.Source, response: &targetconn.Response{Delimited: true}}
	next, reason := r.continueAfterStop(t.Context(), ended, replica, io.EOF)
	require.Nil(t, next)
	require.Equal(t, completed, reason)
	require.Empty(t, asked)
}

// acceptingWire takes each response for one of the target's.
type acceptingWire struct{ plainWire }

func (acceptingWire) NotExecuted(int, http.Header) bool { return false }

func (acceptingWire) Signed(http.Header) bool { return true }

// stoppingClient finds no run to stop and no copy to release.
type stoppingClient struct{ releasingClient }

func (stoppingClient) Move(context.Context, *targets.Target, string, *targets.Target, bool) edge.MoveReply {
	return edge.MoveReply{Result: edge.MoveNoRun}
}

// takeoverTo lets a run at a silent engine be continued from its replica at an engine that
// answers with the given status. It returns the source and what endTakeover returns.
func takeoverTo(t *testing.T, status int) (s *Server, source *targets.Target, next *segment) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	s.Engines, s.Runs = stoppingClient{}, NewRuns(func(*Run, string) {})
	s.Sender = &edge.Sender{Wire: acceptingWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, openGate{}, func(string) float64 { return 0 })}
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(engine.Close)
	r.call.Call.Method, r.call.Call.URI, r.call.Call.Host = http.MethodGet, "/", "e"
	source = &targets.Target{ID: "s"}
	r.ctx, r.segment = t.Context(), openSegment(t, s, source)
	dest, load := &targets.Target{ID: "d", Address: strings.TrimPrefix(engine.URL, "http://")}, inflight.Load{Runs: 1}
	r.replica = &Replica{Source: source, Dest: dest, Reserved: load}
	s.Inflight.Add(dest.Key(), load)
	r.lastEventAt.Store(int64(bootclock.Now().Add(-1200 * time.Millisecond)))
	r.LeaveSilentEngine()
	next = r.endTakeover(io.ErrUnexpectedEOF)
	require.Equal(t, next != nil, s.Inflight.TotalLoad(dest.Key()).Runs == 1)
	require.Equal(t, next == nil, r.nextTakeover > bootclock.Now())
	return s, source, next
}

func TestSilentEngineIsLeftWithoutBlame(t *testing.T) {
	s, source, next := takeoverTo(t, http.StatusOK)
	require.NotNil(t, next)
	require.Greater(t, s.Health.FailureCost(source.Key()), 1.0)
}

func TestSilentEngineIsLeftForOneThatFails(t *testing.T) {
	s, source, next := takeoverTo(t, http.StatusInternalServerError)
	require.Nil(t, next)
	require.InDelta(t, 1, s.Health.FailureCost(source.Key()), 0)
}

func TestSlowerOfTwoEnginesKeepsTheRun(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
		faster, slower := &targets.Target{ID: "f"}, &targets.Target{ID: "s"}
		won, lost := openSegment(t, s, faster), openSegment(t, s, slower)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		a := beginOpening(ctx, func(context.Context) (*segment, error) { return won, nil })
		b := beginOpening(ctx, func(ctx context.Context) (*segment, error) {
			<-ctx.Done()
			return lost, nil
		})
		if !firstWins {
			a, b = b, a
		}
		got, err := r.firstToAnswer(a, b)
		require.NoError(t, err)
		require.Same(t, won, got)
		require.NoError(t, ctx.Err(), "the slower one is not awaited")
		require.Equal(t, 1, s.Inflight.TotalLoad(faster.Key()).Runs)
		require.Zero(t, s.Inflight.TotalLoad(slower.Key()).Runs)
	}
}

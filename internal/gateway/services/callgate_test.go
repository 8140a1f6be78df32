package services

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
	"corianderhitch/api/service"
)

// answerWithLimit answers calls and names the limit that named holds, none for "".
func answerWithLimit(named *atomic.Value) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if limit := named.Load().(string); limit != "" {
			w.Header().Set(service.HeaderRequestLimit, limit)
		}
		answerOK(w, r)
	}
}

// sendCalls sends calls with different keys one after the other and returns how many were served.
// The others must have been rejected at once, with a time after which to come back.
func (fx *fixture) sendCalls(t *testing.T, n int, prefix string) (served int) {
	t.Helper()
	for i := range n {
		begin := time.Now()
		_, failure := fx.call(t, i%2 == 0, fmt.Sprint(prefix, i))
		if failure == nil {
			served++
			continue
		}
		require.Equal(t, problem.RanNo, failure.Ran)
		require.Equal(t, http.StatusServiceUnavailable, failure.Status)
		require.GreaterOrEqual(t, failure.RetryAfter, minGateRetryAfter)
		require.Less(t, time.Since(begin), 500*time.Millisecond)
	}
	return served
}

func TestServiceGetsNoMoreThanThisGatewaysShareOfItsLimit(t *testing.T) {
	for name, c := range map[string]struct {
		limit    string
		gateways []string
		most     int32 // of 40 calls that come at once, the first one included
	}{
		"the only gateway":           {limit: "2", gateways: []string{"h"}, most: 3},
		"one of three":               {limit: "2", gateways: []string{"h", "i", "j"}, most: 2},
		"one of three hundred":       {limit: "0.1", gateways: manyGateways(300), most: 2},
		"a limit of 0":               {limit: "0", gateways: []string{"h"}, most: 2},
		"no limit":                   {gateways: []string{"h"}, most: 40},
		"one that cannot be read":    {limit: "some", gateways: []string{"h"}, most: 40},
		"the gateways are not known": {limit: "2", most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			var named atomic.Value
			named.Store(c.limit)
			fx := newFixture(t, startTarget(&runs, answerWithLimit(&named)))
			fx.fleet.gateways = c.gateways
			require.EqualValues(t, fx.sendCalls(t, 40, "k"), runs.Load())
			require.LessOrEqual(t, runs.Load(), c.most)
			require.GreaterOrEqual(t, runs.Load(), min(c.most, 1))
		})
	}
}

func manyGateways(n int) []string {
	gateways := []string{"h"}
	for i := range n - 1 {
		gateways = append(gateways, fmt.Sprint("other-", i))
	}
	return gateways
}

func TestServiceWithoutLimitIsCalledInsteadOfOneWithALimit(t *testing.T) {
	var limitedRuns, otherRuns atomic.Int32
	var named atomic.Value
	named.Store("1")
	fx := newFixture(t, startTarget(&limitedRuns, answerWithLimit(&named)), startTarget(&otherRuns, answerOK))
	require.Equal(t, 60, fx.sendCalls(t, 60, "k"))
	require.LessOrEqual(t, limitedRuns.Load(), int32(3))
}

func TestLimitThatIsNotNamedAnyMoreIsLifted(t *testing.T) {
	var runs atomic.Int32
	var named atomic.Value
	named.Store("4")
	fx := newFixture(t, startTarget(&runs, answerWithLimit(&named)))
	require.Less(t, fx.sendCalls(t, 40, "limited"), 10)
	named.Store("")
	require.Eventually(t, func() bool { return fx.sendCalls(t, 1, fmt.Sprint("next", time.Now().UnixNano())) == 1 }, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, 40, fx.sendCalls(t, 40, "lifted"))
}

// roomyTarget takes a number of calls at a time and states that it is brittle, with room for two or more,
// while brittle is set.
type roomyTarget struct {
	room             int32
	brittle          atomic.Bool
	running, most    atomic.Int32
	served, rejected atomic.Int32
}

// roomyCallTime is long enough for calls that are sent at once to be there together.
const roomyCallTime = 100 * time.Millisecond

func (r *roomyTarget) serve(w http.ResponseWriter, request *http.Request) {
	if r.brittle.Load() {
		w.Header().Set(service.HeaderBrittle, "5")
		w.Header().Set(service.HeaderRoom, strconv.Itoa(max(2, int(r.room))))
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	r.most.Store(max(r.most.Load(), running))
	if running > r.room {
		r.rejected.Add(1)
		problem.Write(w, problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanNo, "later", "no room"))
		return
	}
	time.Sleep(roomyCallTime)
	r.served.Add(1)
	answerOK(w, request)
}

// callAtOnce sends n calls at the same time and returns how many were served.
func (fx *fixture) callAtOnce(t *testing.T, n int, prefix string) (served int32) {
	var calls sync.WaitGroup
	var ok atomic.Int32
	for i := range n {
		calls.Go(func() {
			if answer, failure := fx.call(t, i%2 == 0, fmt.Sprint(prefix, i)); failure == nil && answer.Status == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	calls.Wait()
	return ok.Load()
}

func TestBrittleServiceGetsNoMoreCallsThanThisGatewaysShareOfItsRoom(t *testing.T) {
	for name, c := range map[string]struct {
		room     int32
		gateways []string
		most     int32 // at a time
		served   int32 // of 30 that come at once: those that run, and twice as many that wait
	}{
		"the only gateway": {room: 4, gateways: []string{"h"}, most: 4, served: 12},
		"one of two":       {room: 4, gateways: []string{"h", "i"}, most: 2, served: 6},
		"one of three":     {room: 2, gateways: []string{"h", "i", "j"}, most: 1, served: 3},
	} {
		t.Run(name, func(t *testing.T) {
			target := &roomyTarget{room: c.room}
			target.brittle.Store(true)
			var runs atomic.Int32
			fx := newFixture(t, startTarget(&runs, target.serve))
			fx.fleet.gateways = c.gateways
			require.Equal(t, 1, fx.sendCalls(t, 1, "first"))
			served := fx.callAtOnce(t, 30, "k")
			require.GreaterOrEqual(t, served, c.served)
			require.LessOrEqual(t, served, c.served+c.most, "more wait than can soon be sent")
			require.LessOrEqual(t, target.most.Load(), c.most)
			require.Zero(t, target.rejected.Load())
		})
	}
}

func TestServiceWithoutRoomGetsNoCallsForAWhile(t *testing.T) {
	target := &roomyTarget{}
	target.brittle.Store(true)
	var runs atomic.Int32
	fx := newFixture(t, startTarget(&runs, target.serve))
	for i := range 10 {
		_, _ = fx.call(t, true, fmt.Sprint("k", i))
	}
	require.EqualValues(t, 1, target.rejected.Load(), "rejections")
	_, failure := fx.call(t, true, "last")
	require.NotNil(t, failure)
	require.Equal(t, problem.KindOverloaded, failure.Kind)
	require.GreaterOrEqual(t, failure.RetryAfter, minGateRetryAfter)
}

func TestServiceThatIsBrittleNoMoreIsCalledAsOthersAre(t *testing.T) {
	target := &roomyTarget{room: 30}
	target.brittle.Store(true)
	var runs atomic.Int32
	fx := newFixture(t, startTarget(&runs, target.serve))
	require.Equal(t, 1, fx.sendCalls(t, 1, "first"))
	target.brittle.Store(false)
	require.Equal(t, 1, fx.sendCalls(t, 1, "second"))
	target.room = 100
	require.EqualValues(t, 40, fx.callAtOnce(t, 40, "k"))
}

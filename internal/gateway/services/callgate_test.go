package services

import (
	"fmt"
	"net/http"
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

package draining

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
)

const (
	length   = 7600 * time.Millisecond
	deadline = 39 * time.Second
)

// at returns a drain that began the given time ago.
func at(age time.Duration) *Drain {
	d := New(length)
	d.Begin(bootclock.Now().Add(-age))
	return d
}

func plainCall(timeLeft time.Duration) *edge.AuthorizedCall {
	return &edge.AuthorizedCall{Call: &edge.Call{}, Route: &policy.Route{Name: "route"}, Deadline: bootclock.Now().Add(timeLeft)}
}

func streamCall(outputTokens int) *edge.AuthorizedCall {
	return &edge.AuthorizedCall{
		Call:     &edge.Call{Generation: &edge.GenerationRequest{MaxOutputTokens: outputTokens}},
		Route:    &policy.Route{Name: "route", Kind: policy.Streaming, Objective: 1500 * time.Millisecond, GapObjective: 180 * time.Millisecond},
		Service:  &policy.Service{Engine: &policy.Engine{TokensPerEvent: 4}},
		Deadline: bootclock.Now().Add(deadline),
	}
}

func TestPlainCallThatCannotEndInTimeDoesNotFit(t *testing.T) {
	for name, c := range map[string]struct {
		age      time.Duration // of the drain
		recent   []time.Duration
		timeLeft time.Duration
		want     bool
	}{
		"short, at once":                   {0, []time.Duration{time.Second}, deadline, true},
		"long, at once":                    {0, []time.Duration{time.Second, 6 * time.Second}, deadline, false},
		"short, near the end":              {7 * time.Second, []time.Duration{time.Second}, deadline, false},
		"very short, near the end":         {7 * time.Second, []time.Duration{50 * time.Millisecond}, deadline, true},
		"unknown, deadline in time":        {3 * time.Second, nil, 1500 * time.Millisecond, true},
		"unknown, deadline after the end":  {3 * time.Second, nil, 6 * time.Second, false},
		"long, but its deadline is nearer": {3 * time.Second, []time.Duration{6 * time.Second}, time.Second, true},
		"after the end":                    {8 * time.Second, []time.Duration{time.Millisecond}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := at(c.age)
			for _, took := range c.recent {
				d.Record("route", Pace{Start: took})
			}
			require.Equal(t, c.want, d.Fits(plainCall(c.timeLeft)))
		})
	}
}

func TestPlainCallOfAnUnknownRouteFitsByItsObjective(t *testing.T) {
	a := plainCall(deadline)
	a.Route.Objective = 100 * time.Millisecond
	require.True(t, at(6*time.Second).Fits(a))
	require.False(t, at(7*time.Second).Fits(a))
}

func TestStreamThatCannotEndInTimeDoesNotFit(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		recent []Pace
		tokens int
		want   bool
	}{
		"short, route unknown":                  {0, nil, 12, true},
		"long, route unknown":                   {0, nil, 928, false},
		"short":                                 {3 * time.Second, []Pace{{time.Second, 10 * time.Millisecond}}, 12, true},
		"short, near the end":                   {7 * time.Second, []Pace{{time.Second, 10 * time.Millisecond}}, 12, false},
		"long":                                  {0, []Pace{{time.Second, 10 * time.Millisecond}}, 928, false},
		"long, at a fast engine":                {0, []Pace{{time.Second, 2 * time.Millisecond}}, 928, true},
		"long, where recent streams were short": {5 * time.Second, []Pace{{200 * time.Millisecond, 10 * time.Millisecond}}, 928, false},
		"length unknown":                        {0, []Pace{{time.Second, time.Millisecond}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := at(c.age)
			for _, took := range c.recent {
				d.Record("route", took)
			}
			require.Equal(t, c.want, d.Fits(streamCall(c.tokens)))
		})
	}
}

func TestResumedStreamFitsByWhatIsLeftOfIt(t *testing.T) {
	d := at(3 * time.Second)
	d.Record("route", Pace{time.Second, 10 * time.Millisecond})
	a := streamCall(928)
	a.Call.LastEventID = 230
	require.False(t, d.Fits(a), "the route's streams cannot be resumed")
	a.Route.Resumable = true
	require.True(t, d.Fits(a), "8 tokens are left")
	a.Call.LastEventID = 4
	require.False(t, d.Fits(a))
	a.Call.LastEventID = edge.MaxEventID
	require.True(t, d.Fits(a))
}

func TestEverythingFitsBeforeTheDrain(t *testing.T) {
	d := New(length)
	d.Record("route", Pace{Start: time.Minute})
	require.True(t, d.Fits(plainCall(deadline)))
	require.True(t, d.Fits(streamCall(928)))
}

func TestDurationsOfOldRequestsAreForgotten(t *testing.T) {
	d := New(length)
	d.Record("route", Pace{Start: time.Minute})
	for range recentRequests {
		d.Record("route", Pace{Start: time.Second})
	}
	longest, known := d.took.longest("route")
	require.True(t, known)
	require.Equal(t, time.Second, longest.Start)
}

func TestDurationsAreKeptOfABoundedNumberOfRoutes(t *testing.T) {
	d := New(length)
	for n := range 3 * maxRoutes {
		d.Record(fmt.Sprint(n), Pace{Start: time.Second})
	}
	require.LessOrEqual(t, len(d.took.byRoute), maxRoutes)
}

func TestRunOutlastsDrainByTheTokensThatAreLeft(t *testing.T) {
	a := streamCall(928)
	require.False(t, New(length).Outlasts(a, 928), "before the drain")
	// 7 ms a token, as recorded; 45 ms by the route's objective
	for _, c := range []struct {
		known    bool
		age      time.Duration
		tokens   int
		outlasts bool
	}{
		{true, 0, 928, false}, {true, 2 * time.Second, 928, true}, {true, 2 * time.Second, 700, false},
		{false, 0, 168, false}, {false, 0, 170, true},
	} {
		d := at(c.age)
		if c.known {
			d.Record("route", Pace{PerToken: 7 * time.Millisecond})
		}
		require.Equal(t, c.outlasts, d.Outlasts(a, c.tokens), "%+v", c)
	}
}

package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/scheduling"
)

// runBoth runs a policy whose gateways ignore pauses, then with gateways that heed them.
func runBoth(t *testing.T, s *Scenario, policy string) (ignoring, heeding Result) {
	t.Helper()
	specs, err := choosePolicies(s, []string{policy})
	require.NoError(t, err)
	results := runAll(s, specs, 1)
	require.Len(t, results, 2)
	require.Equal(t, policy+ignoringPausesSuffix, results[0].Policy)
	return results[0], results[1]
}

func TestPausedTargetsDrawRequestsThatFail(t *testing.T) {
	s := loadShipped(t, "pause", 40)
	begun := 0
	for _, f := range s.Faults {
		if f.At < s.Seconds {
			begun++
		}
	}
	require.Equal(t, 8, begun, "two groups pause")
	for _, policy := range []string{"least_in_flight", ProductPolicy} {
		t.Run(policy, func(t *testing.T) {
			ignoring, heeding := runBoth(t, s, policy)
			for _, r := range []Result{ignoring, heeding} {
				require.Equal(t, r.Offered, r.Completed+r.Rejected)
				assert.Zero(t, r.DuplicatedTokens)
			}
			assert.Greater(t, float64(heeding.Completed), 0.99*float64(heeding.Offered))
			assert.Less(t, float64(ignoring.Completed), 0.9*float64(ignoring.Offered))
			assert.LessOrEqual(t, heeding.ArrivalsInPause, begun*s.Gateways, "a gateway learns of a pause from one answer")
			assert.Greater(t, ignoring.ArrivalsInPause, 5*heeding.ArrivalsInPause)
			assert.Zero(t, heeding.ArrivalsOverBudget)
			assert.Positive(t, ignoring.ArrivalsOverBudget)
		})
	}
}

func TestRequestsReachNoTargetWhileAllPause(t *testing.T) {
	s := loadShipped(t, "pause", 20)
	s.Faults = nil
	for i := range s.Targets {
		s.Faults = append(s.Faults, Fault{Kind: FaultPause, At: 5, Target: i, Seconds: 5})
	}
	_, heeding := runBoth(t, s, ProductPolicy)
	require.Equal(t, heeding.Offered, heeding.Completed+heeding.Rejected)
	assert.LessOrEqual(t, heeding.ArrivalsInPause, s.Targets*s.Gateways)
	assert.Zero(t, heeding.ArrivalsOverBudget)
	assert.Greater(t, heeding.Rejected, heeding.Offered/8, "a quarter of the time")
	assert.Less(t, heeding.Rejected, heeding.Offered/2)
}

func TestPauseLogCountsArrivals(t *testing.T) {
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	p := &pauseRecord{target: "a", end: at(5000), answered: make(map[int]time.Time), late: make(map[int]int)}
	l := pauseLog{pauses: []*pauseRecord{p}}
	for _, ms := range []int{0, 100, 499, 500, 600, 700, 4999, 5000, 5100, 5249, 5250, 5349, 8999, 9000} {
		l.recordArrival("a", 0, at(ms))
	}
	l.recordArrival("a", 1, at(4999))
	l.recordArrival("b", 0, at(4999))
	assert.Equal(t, 8, l.arrivals())
	assert.Equal(t, 2, l.overBudget(), "four arrivals half a second after the answer")
	assert.Equal(t, 4, l.peakReturn(), "from 5.1 s to 5.349 s")
	curve := l.returnCurve()
	assert.InDelta(t, 3, curve[0], 0)
	assert.InDelta(t, 2, curve[1], 0)
	assert.InDelta(t, 1, curve[15], 0)
}

func TestGrantOfPausedTargetIsNotSent(t *testing.T) {
	s := loadShipped(t, "pause", 5)
	s.Faults = nil
	arrivals := Arrivals(s, 1)
	spec, err := namedPolicies([]string{"least_in_flight"})
	require.NoError(t, err)
	r := newRunner(s, spec[0], 1)
	r.pollReports()
	r.observePause(0, r.targets[0], 5*time.Second)
	for running := true; running; {
		running = r.timeline.runNext(startTime.Add(r.linkDelay))
	}
	c := &call{arrival: &arrivals[0], ticket: "x"}
	r.callsByTicket[c.ticket] = c
	r.sendGranted(scheduling.Grant{Ticket: c.ticket, Target: r.targets[0].name})
	for running := true; running && c.target == ""; {
		running = r.timeline.runNext(startTime.Add(time.Second))
	}
	assert.NotEmpty(t, c.target)
	assert.NotEqual(t, r.targets[0].name, c.target)
}

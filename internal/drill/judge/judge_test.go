package judge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/record"
)

func TestJudgeReportsEachRuleInOrder(t *testing.T) {
	require.Empty(t, Judge(newRun()))
	run := cutRun(19, 24)
	run.HostEvents = []record.HostEvent{event(record.Term, 20)}
	run.Requests = append(run.Requests, request("r-2", "hold", 10, 11))
	run.Arrivals = append(run.Arrivals, arrival("r-2", "t-1", 10, 10.5), arrival("r-2", "t-2", 10.5, 11))
	run.Targets[0].Domain = "north"
	violations := Judge(run)
	require.Len(t, violations, 2)
	require.Equal(t, Twice, violations[0].Rule)
	require.Equal(t, Violation{Rule: Lost, At: at(24), Host: "host-1", Requests: []string{"r-1"},
		Text: "no whole answer around SIGTERM to host-1 at 20.000 (its time 40.000 s): id r-1 draft at host host-1 sent 19.000..19.000 end 24.000 closed status 0 " +
			"[t-1 engines north from host-1 at 19.000 ran canceled at 24.000]"}, violations[1])
}

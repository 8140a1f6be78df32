package prove

import (
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
)

// callResult is the result of a call that its caller received, or the number of times
// that the targets ran it according to their journals at the end.
type callResult struct {
	kind callResultKind
	body string // of callAnswered
	ran  int    // of callExecuted
}

type callResultKind int

const (
	callAnswered   callResultKind = iota
	callNotRun                    // rejected; this attempt did not run
	callMayHaveRun                // outcome unknown, or the connection failed
	callExecuted                  // count from the journals at the end
)

// States of a call in callModel. The empty state is a call that has not run.
const (
	stateRan      = "ran"     // has run; no caller has received the answer
	stateAnswered = "answer:" // has run; prefix of the answer that callers have received
)

// callModel models a call that runs at most once and whose answer never changes.
var callModel = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		return stepCallModel(state.(string), output.(callResult))
	},
}

func stepCallModel(state string, result callResult) []any {
	switch result.kind {
	case callNotRun:
		return []any{state}
	case callMayHaveRun:
		if state == "" {
			return []any{"", stateRan}
		}
		return []any{state}
	case callAnswered:
		if seen, ok := strings.CutPrefix(state, stateAnswered); ok && seen != result.body {
			return nil
		}
		return []any{stateAnswered + result.body}
	case callExecuted:
		want := 1
		if state == "" {
			want = 0
		}
		if result.ran == want {
			return []any{state}
		}
	}
	return nil
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(string)
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// linearizeTimeout bounds the check of one history.
const linearizeTimeout = 30 * time.Second

// checkCallHistory requires that a sequential order of calls, each run at most once,
// explains the results that callers received and the targets' executions.
func checkCallHistory(t *testing.T, outcomes []callOutcome, executions map[string]int) {
	t.Helper()
	require.Equal(t, porcupine.Ok, checkLinearizable(outcomes, executions), "no order of at-most-once calls explains the answers")
}

// checkLinearizable checks a history for linearizability. A call whose outcome the
// caller does not know may take effect until the end of the history.
func checkLinearizable(outcomes []callOutcome, executions map[string]int) porcupine.CheckResult {
	end := time.Duration(0)
	for _, o := range outcomes {
		end = max(end, o.end)
	}
	var history []porcupine.Operation
	keys := make(map[string]bool)
	for _, o := range outcomes {
		result := callResult{kind: callAnswered, body: o.answer.body}
		returned := o.end
		switch {
		case o.err != nil || o.answer.failure != nil && o.answer.failure.Ran != problem.RanNo:
			result, returned = callResult{kind: callMayHaveRun}, end
		case o.answer.failure != nil:
			result = callResult{kind: callNotRun}
		}
		keys[o.key] = true
		history = append(history, porcupine.Operation{ClientId: o.sender, Input: o.key, Call: int64(o.begin), Output: result, Return: int64(returned)})
	}
	for key := range keys {
		history = append(history, porcupine.Operation{ClientId: len(history), Input: key, Call: int64(end) + 1,
			Output: callResult{kind: callExecuted, ran: executions[key]}, Return: int64(end) + 2})
	}
	return porcupine.CheckOperationsTimeout(callModel.ToModel(), history, linearizeTimeout)
}

// TestCallModelFindsViolations tests the checker itself on short histories.
func TestCallModelFindsViolations(t *testing.T) {
	t.Parallel()
	executed := func(key string, n int) map[string]int { return map[string]int{key: n} }
	answered := callOutcome{key: "k", answer: plainAnswer{status: 200, body: "a"}, end: 1}
	other := callOutcome{key: "k", answer: plainAnswer{status: 200, body: "b"}, begin: 2, end: 3}
	notRun := callOutcome{key: "k", answer: plainAnswer{failure: &problem.Error{Ran: problem.RanNo}}, end: 1}
	for name, tc := range map[string]struct {
		outcomes []callOutcome
		executed map[string]int
		ok       bool
	}{
		"ran once":                     {[]callOutcome{answered}, executed("k", 1), true},
		"ran twice":                    {[]callOutcome{answered}, executed("k", 2), false},
		"answered and not run":         {[]callOutcome{answered}, nil, false},
		"two answers":                  {[]callOutcome{answered, other}, executed("k", 1), false},
		"told not run and ran":         {[]callOutcome{notRun}, executed("k", 1), false},
		"told not run, then answered":  {[]callOutcome{notRun, other}, executed("k", 1), true},
		"told not run and did not run": {[]callOutcome{notRun}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			expected := porcupine.Ok
			if !tc.ok {
				expected = porcupine.Illegal
			}
			require.Equal(t, expected, checkLinearizable(tc.outcomes, tc.executed))
		})
	}
}

package judge

import (
	"fmt"

	"corianderhitch/internal/drill/record"
)

// maxOverAttempts is how many requests may run on more targets than their route allows.
const maxOverAttempts = 3

// excessAttempts finds requests that ran on more targets than maxAttempts.
func excessAttempts(x *index) []Violation {
	var ids []string
	var latest *record.Request
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if x.targetsRun(q) > x.route(q).MaxAttempts {
			ids = append(ids, q.ID)
			latest = q
		}
	}
	if len(ids) <= maxOverAttempts {
		return nil
	}
	return []Violation{{Rule: Budget, At: latest.Ended, Requests: ids,
		Text: fmt.Sprintf("%d requests ran on more targets than their route's maxAttempts:\n  %s", len(ids), x.ways(ids))}}
}

// targetsRun counts the targets that began to run a request, without those that ended
// meanwhile. A run that goes on from its memory is the same run.
func (x *index) targetsRun(q *record.Request) int {
	ran := make(map[string]bool)
	for _, a := range x.arrivals[q.ID] {
		if a.Ran && !a.Continues && !x.endedMeanwhile(a.Target, q) {
			ran[a.Target] = true
		}
	}
	return len(ran)
}

// endedMeanwhile reports whether a target ended before the request did.
func (x *index) endedMeanwhile(target string, q *record.Request) bool {
	t := x.targets[target]
	return t != nil && !t.Ended.IsZero() && !t.Ended.After(q.Ended)
}

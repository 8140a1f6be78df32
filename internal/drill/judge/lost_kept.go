package judge

import (
	"fmt"

	"corianderhitch/internal/drill/record"
)

// maxKeptLost is how many requests on kept connections may be lost in a run.
const maxKeptLost = 3

// lostKeptConnections finds requests on kept connections that were passed on to a sound
// target and ended without an answer.
func lostKeptConnections(x *index) []Violation {
	var ids []string
	var latest *record.Request
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if q.Earlier == 0 || q.Status != 0 || q.GaveUp || q.Ended.IsZero() || !x.atSoundTarget(q) {
			continue
		}
		if from := x.arrivals[q.ID][0].At; x.contact.inTouchDuring(q.Host, from, q.Ended) {
			ids = append(ids, q.ID)
			latest = q
		}
	}
	if len(ids) <= maxKeptLost {
		return nil
	}
	return []Violation{{Rule: Lost, At: latest.Ended, Requests: ids,
		Text: fmt.Sprintf("%d requests from kept connections passed on to sound targets and closed without an answer:\n  %s", len(ids), x.ways(ids))}}
}

// atSoundTarget reports whether a request reached a target that neither broke off nor was
// silent until the request ended.
func (x *index) atSoundTarget(q *record.Request) bool {
	for _, a := range x.arrivals[q.ID] {
		if a.Outcome == record.Crashed || a.Outcome == record.BrokeOff {
			continue
		}
		if t := x.targets[a.Target]; t == nil || !overlaps(t.Silences, a.At, q.Ended) {
			return true
		}
	}
	return false
}

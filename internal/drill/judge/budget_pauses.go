package judge

import (
	"fmt"
	"time"
)

const (
	// pauseOnTheWay is how long after a rejection requests that were already sent may still reach
	// the target.
	pauseOnTheWay = 500 * time.Millisecond
	// maxInPause is how many requests of a host may reach a target in a pause that it was asked for.
	maxInPause = 2
)

// sentIntoPauses finds targets that got requests from hosts of which they had asked for a pause.
func sentIntoPauses(x *index) []Violation {
	var all []Violation
	for i := range x.run.Arrivals {
		asked := &x.run.Arrivals[i]
		from, to := asked.At.Add(pauseOnTheWay), asked.At.Add(asked.Pause)
		if asked.Pause <= pauseOnTheWay || !x.contact.runsUndisturbed(asked.Host, asked.At, to) || !x.contact.reachesTargets(asked.Host, asked.At, to) {
			continue
		}
		var ids []string
		for _, a := range x.run.Arrivals {
			if a.Target == asked.Target && a.Host == asked.Host && a.At.After(from) && a.At.Before(to) {
				ids = append(ids, a.Request)
			}
		}
		if len(ids) > maxInPause {
			all = append(all, Violation{Rule: Budget, At: to, Host: asked.Host, Requests: ids,
				Text: fmt.Sprintf("%s asked %s for a pause of %v at %s and got %d requests in it; %d are allowed", asked.Target, asked.Host, asked.Pause, x.clock(asked.At), len(ids), maxInPause)})
		}
	}
	return all
}

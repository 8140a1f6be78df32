package baseline

import "corianderhitch/internal/scheduling"

// roundRobin chooses the usable targets in turn.
type roundRobin struct{ next int }

// NewRoundRobin returns the policy round_robin.
func NewRoundRobin() scheduling.Policy { return newGreedy(&roundRobin{}, "round robin") }

func (c *roundRobin) choose(_ *scheduling.Request, usable []scheduling.Target) (string, bool) {
	if len(usable) == 0 {
		return "", false
	}
	c.next++
	return usable[c.next%len(usable)].Name, true
}

func (c *roundRobin) granted(*scheduling.Request, string) {}
func (c *roundRobin) ended(*scheduling.Request, string)   {}

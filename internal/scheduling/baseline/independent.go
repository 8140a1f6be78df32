package baseline

import (
	"math/rand/v2"

	"corianderhitch/internal/scheduling"
)

// independent is gateways that choose without each other: each draws two
// targets and takes the one with less load by the last report, corrected by
// what the gateway itself has sent there since.
type independent struct {
	random *rand.Rand
	own    []map[string]int // requests in flight by gateway and target
	of     map[string]int   // gateway by ticket
}

// NewIndependent returns the policy independent_p2c of a number of gateways.
func NewIndependentP2C(gateways int, seed uint64) scheduling.Policy {
	c := &independent{random: rand.New(rand.NewPCG(seed, 2)), of: make(map[string]int)}
	for range gateways {
		c.own = append(c.own, make(map[string]int))
	}
	return newGreedy(c, "less loaded of two")
}

func (c *independent) choose(r *scheduling.Request, usable []scheduling.Target) (string, bool) {
	if len(usable) == 0 {
		return "", false
	}
	g := c.random.IntN(len(c.own))
	c.of[r.Ticket] = g
	a := &usable[c.random.IntN(len(usable))]
	b := &usable[c.random.IntN(len(usable))]
	if c.load(g, b) < c.load(g, a) {
		return b.Name, true
	}
	return a.Name, true
}

// load takes the report for the others' share and the own count for the rest.
func (c *independent) load(g int, t *scheduling.Target) float64 {
	others := float64(t.Running+t.Waiting) * float64(len(c.own)-1) / float64(len(c.own))
	return others + float64(c.own[g][t.Name])
}

func (c *independent) granted(r *scheduling.Request, target string) {
	c.own[c.of[r.Ticket]][target]++
}

func (c *independent) ended(r *scheduling.Request, target string) {
	g := c.of[r.Ticket]
	delete(c.of, r.Ticket)
	c.own[g][target]--
}

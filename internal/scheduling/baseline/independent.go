package baseline

import (
	"math/rand/v2"

	"corianderhitch/internal/scheduling"
)

// independentP2C models gateways that choose targets independently of each other by
// the power of two choices: each picks two targets at random and chooses the one with
// less load, estimated from the last report and the gateway's own requests.
type independentP2C struct {
	random          *rand.Rand
	inFlight        []map[string]int // requests in flight, by gateway and target
	gatewayOfTicket map[string]int   // by ticket
}

// NewIndependentP2C returns the policy independent_p2c with the given number of
// gateways.
func NewIndependentP2C(gateways int, seed uint64) scheduling.Policy {
	c := &independentP2C{random: rand.New(rand.NewPCG(seed, 2)), gatewayOfTicket: make(map[string]int)}
	for range gateways {
		c.inFlight = append(c.inFlight, make(map[string]int))
	}
	return newGreedy(c, "less loaded of two")
}

func (c *independentP2C) choose(r *scheduling.Request, usable []scheduling.Target) (string, bool) {
	if len(usable) == 0 {
		return "", false
	}
	g := c.random.IntN(len(c.inFlight))
	c.gatewayOfTicket[r.Ticket] = g
	a := &usable[c.random.IntN(len(usable))]
	b := &usable[c.random.IntN(len(usable))]
	if c.load(g, b) < c.load(g, a) {
		return b.Name, true
	}
	return a.Name, true
}

// load estimates the requests at a target as gateway g sees them: the other gateways'
// part of the reported load, plus its own requests in flight there.
func (c *independentP2C) load(g int, t *scheduling.Target) float64 {
	others := float64(t.Running+t.Waiting) * float64(len(c.inFlight)-1) / float64(len(c.inFlight))
	return others + float64(c.inFlight[g][t.Name])
}

func (c *independentP2C) granted(r *scheduling.Request, target string) {
	c.inFlight[c.gatewayOfTicket[r.Ticket]][target]++
}

func (c *independentP2C) ended(r *scheduling.Request, target string) {
	g := c.gatewayOfTicket[r.Ticket]
	delete(c.gatewayOfTicket, r.Ticket)
	c.inFlight[g][target]--
}

package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/drill/deployment"
)

// traffic is the load of all callers.
type traffic struct {
	fleet   *fleet
	clients map[string][]*client // by failure domain
	wait    sync.WaitGroup

	disturbed atomic.Pointer[unusual]
}

// unusual is how callers behave during a disturbance.
type unusual struct {
	rate      float64 // of the usual
	giveUp    float64 // share of callers that leave before their deadline
	impatient float64 // share of callers that repeat at once and more often
}

func newTraffic(f *fleet) *traffic {
	t := &traffic{fleet: f, clients: make(map[string][]*client)}
	t.disturbed.Store(&unusual{rate: 1})
	for i, g := range f.deployment.Callers {
		for n := range g.Clients {
			t.clients[g.Domain] = append(t.clients[g.Domain], &client{
				name: fmt.Sprintf("%s/%d", g.Domain, n), domain: g.Domain, account: t.account(n), traffic: t,
				random: rand.New(rand.NewPCG(f.options.Seed, uint64(clientStreams*(i+1)+n))),
			})
		}
	}
	return t
}

// account returns the client account of the n-th client; a few accounts are large.
func (t *traffic) account(n int) int {
	accounts := max(1, t.fleet.deployment.Accounts)
	if n%2 == 0 {
		return n / 2 % min(accounts, largeAccounts)
	}
	return n % accounts
}

const (
	largeAccounts = 2
	clientStreams = 1000 // of random numbers in a failure domain
)

func (t *traffic) giveUpShare() float64    { return t.disturbed.Load().giveUp }
func (t *traffic) impatientShare() float64 { return t.disturbed.Load().impatient }

// run sends requests until the context ends, and waits for their ends.
func (t *traffic) run(ctx, calls context.Context) {
	var groups sync.WaitGroup
	for n, g := range t.fleet.deployment.Callers {
		groups.Go(func() { t.runGroup(ctx, calls, g, rand.New(rand.NewPCG(t.fleet.options.Seed, uint64(n)))) })
	}
	groups.Wait()
	t.wait.Wait()
	for _, clients := range t.clients {
		for _, c := range clients {
			c.closeAll()
		}
	}
}

// runGroup sends the requests of a failure domain at random times with the stated rate.
func (t *traffic) runGroup(ctx, calls context.Context, g deployment.Callers, r *rand.Rand) {
	kinds := make([]string, 0, len(g.Mix))
	total := 0.0
	for name, weight := range g.Mix {
		kinds = append(kinds, name)
		total += weight
	}
	slices.Sort(kinds)
	next := time.Now()
	for {
		next = next.Add(time.Duration(r.ExpFloat64() / (g.PerSecond * t.disturbed.Load().rate) * float64(time.Second)))
		if sleep(ctx, time.Until(next)) != nil {
			return
		}
		chosen, at := kinds[0], r.Float64()*total
		for _, name := range kinds {
			if at -= g.Mix[name]; at < 0 {
				chosen = name
				break
			}
		}
		clients := t.clients[g.Domain]
		c := newCall(clients[r.IntN(len(clients))], t.fleet.deployment.Kind(chosen))
		t.wait.Go(func() { c.run(calls) })
	}
}

// sendCrashing sends a request of a random client whose prompt has a part that crashes
// engines.
func (t *traffic) sendCrashing(ctx context.Context, r *rand.Rand, part string) {
	g := t.fleet.deployment.Callers[r.IntN(len(t.fleet.deployment.Callers))]
	for i := range t.fleet.deployment.Kinds {
		k := &t.fleet.deployment.Kinds[i]
		if k.Events.Mean == 0 {
			continue
		}
		c := newCall(t.clients[g.Domain][r.IntN(len(t.clients[g.Domain]))], k)
		c.request.Parts[0].ID, c.part, c.crashes = part, part, true
		t.wait.Go(func() { c.run(ctx) })
		return
	}
}

// newCrashing returns a request of a random client to a random plain service, which crashes the targets
// that run it; nil if the deployment has no plain service.
func (t *traffic) newCrashing(r *rand.Rand, name string) *call {
	var kinds []*deployment.Kind
	for i := range t.fleet.deployment.Kinds {
		if k := &t.fleet.deployment.Kinds[i]; k.Events.Mean == 0 {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return nil
	}
	g := t.fleet.deployment.Callers[r.IntN(len(t.fleet.deployment.Callers))]
	c := newCall(t.clients[g.Domain][r.IntN(len(t.clients[g.Domain]))], kinds[r.IntN(len(kinds))])
	_, prefix := t.fleet.platform.Address(c.kind.Name)
	c.path = prefix + name
	return c
}

// repeat sends the same request as a random client of the same account.
func (t *traffic) repeat(ctx context.Context, r *rand.Rand, same *call) {
	var clients []*client
	for _, g := range t.fleet.deployment.Callers {
		for _, c := range t.clients[g.Domain] {
			if c.account == same.client.account {
				clients = append(clients, c)
			}
		}
	}
	c := newCall(clients[r.IntN(len(clients))], same.kind)
	c.path, c.body, c.crashes = same.path, same.body, true
	t.wait.Go(func() { c.run(ctx) })
}

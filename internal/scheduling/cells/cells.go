package cells

import (
	"time"

	"corianderhitch/internal/scheduling"
)

// digestEvery is how often the owners of cells tell their load.
const digestEvery = 500 * time.Millisecond

// Cells is a Policy over a pool of any size. In the product each cell has its
// own owner; here all are in one place, as benchmarks and experiments need them.
type Policy struct {
	config   scheduling.Config
	pools    []*scheduling.Pool
	cellOf   map[string]int // by target
	loads    []Load         // as last told
	current  []int          // requests waiting and running, by cell
	told     time.Time
	owner    map[string]int // ticket to cell
	homeless []scheduling.Request
}

var _ scheduling.Policy = (*Policy)(nil)

// New returns Cells without targets.
func New(config scheduling.Config) *Policy {
	return &Policy{config: config, cellOf: make(map[string]int), owner: make(map[string]int)}
}

// SetTargets implements scheduling.Policy.
func (c *Policy) SetTargets(now time.Time, targets []scheduling.Target) {
	if c.changed(targets) {
		c.split(targets)
	}
	members := make([][]scheduling.Target, len(c.pools))
	usable := make([]int, len(c.pools))
	for _, t := range targets {
		i := c.cellOf[t.Name]
		members[i] = append(members[i], t)
		if t.Healthy && !t.Leaving && !t.Standby {
			usable[i]++
		}
	}
	for i, pool := range c.pools {
		pool.SetTargets(now, members[i])
		c.loads[i].Targets = usable[i]
		if usable[i] == 0 {
			c.evacuate(i)
		}
	}
}

func (c *Policy) changed(targets []scheduling.Target) bool {
	if len(targets) != len(c.cellOf) {
		return true
	}
	for _, t := range targets {
		if _, ok := c.cellOf[t.Name]; !ok {
			return true
		}
	}
	return false
}

func (c *Policy) split(targets []scheduling.Target) {
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.Name
	}
	clear(c.cellOf)
	cells := Split(names)
	for i, cell := range cells {
		for _, name := range cell {
			c.cellOf[name] = i
		}
	}
	for len(c.pools) < len(cells) {
		c.pools = append(c.pools, scheduling.NewPool(c.config))
		c.loads = append(c.loads, Load{})
		c.current = append(c.current, 0)
	}
}

// evacuate takes the waiting requests out of a cell without usable targets.
func (c *Policy) evacuate(cell int) {
	for _, r := range c.pools[cell].WithdrawAll() {
		c.forget(r.Ticket)
		c.homeless = append(c.homeless, r)
	}
}

// ObserveCache implements scheduling.Policy.
func (c *Policy) ObserveCache(now time.Time, update scheduling.CacheUpdate) {
	if i, ok := c.cellOf[update.Target]; ok {
		c.pools[i].ObserveCache(now, update)
	}
}

// Submit implements scheduling.Policy.
func (c *Policy) Submit(now time.Time, r scheduling.Request) {
	if now.Sub(c.told) >= digestEvery {
		c.told = now
		for i := range c.loads {
			c.loads[i].Requests = c.current[i]
		}
	}
	i := Choose(&r, c.loads)
	if i < 0 {
		c.homeless = append(c.homeless, r)
		return
	}
	c.owner[r.Ticket] = i
	c.current[i]++
	c.pools[i].Submit(now, r)
}

// Cancel implements scheduling.Policy.
func (c *Policy) Cancel(now time.Time, ticket string) {
	if i, ok := c.owner[ticket]; ok {
		c.pools[i].Cancel(now, ticket)
		c.forget(ticket)
	}
}

// Finish implements scheduling.Policy.
func (c *Policy) Finish(now time.Time, f scheduling.Finished) {
	if i, ok := c.owner[f.Ticket]; ok {
		c.pools[i].Finish(now, f)
		c.forget(f.Ticket)
	}
}

// Crashed implements scheduling.Policy.
func (c *Policy) Crashed(now time.Time, target string) {
	if i, ok := c.cellOf[target]; ok {
		c.pools[i].Crashed(now, target)
	}
}

// Decide implements scheduling.Policy.
func (c *Policy) Decide(now time.Time) scheduling.Decisions {
	homeless := c.homeless
	c.homeless = nil
	for _, r := range homeless {
		c.Submit(now, r)
	}
	var all scheduling.Decisions
	for i := range c.pools {
		all = c.merge(all, c.pools[i].Decide(now))
	}
	return all
}

// DecideFor decides in the cell of one request, as the cell's owner does.
func (c *Policy) DecideFor(now time.Time, ticket string) scheduling.Decisions {
	i, ok := c.owner[ticket]
	if !ok {
		return scheduling.Decisions{}
	}
	return c.merge(scheduling.Decisions{}, c.pools[i].Decide(now))
}

func (c *Policy) merge(all, d scheduling.Decisions) scheduling.Decisions {
	all.Grants = append(all.Grants, d.Grants...)
	all.Rejections = append(all.Rejections, d.Rejections...)
	for _, r := range d.Rejections {
		c.forget(r.Ticket)
	}
	return all
}

// NextDecision implements scheduling.Policy.
func (c *Policy) NextDecision(now time.Time) time.Time {
	var next time.Time
	if len(c.homeless) > 0 {
		next = now.Add(digestEvery)
	}
	for _, pool := range c.pools {
		at := pool.NextDecision(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

func (c *Policy) forget(ticket string) {
	if i, ok := c.owner[ticket]; ok {
		c.current[i]--
		delete(c.owner, ticket)
	}
}

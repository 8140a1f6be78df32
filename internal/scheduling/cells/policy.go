package cells

import (
	"time"

	"corianderhitch/internal/scheduling"
)

// loadReportInterval is how often the owners of cells report their load.
const loadReportInterval = 500 * time.Millisecond

// Policy is a scheduling.Policy over a pool of any size. In the product each cell
// has an owner of its own; here one process holds all cells, for benchmarks and
// experiments.
type Policy struct {
	config        scheduling.Config
	pools         []*scheduling.Pool
	cellOfTarget  map[string]int // by target name
	reportedLoads []Load         // as last reported, by cell
	requests      []int          // waiting and running requests, by cell
	reportedAt    time.Time
	cellOfTicket  map[string]int       // by ticket
	unplaced      []scheduling.Request // submitted again by the next Decide
}

var _ scheduling.Policy = (*Policy)(nil)

// New returns a Policy without targets.
func New(config scheduling.Config) *Policy {
	return &Policy{config: config, cellOfTarget: make(map[string]int), cellOfTicket: make(map[string]int)}
}

// SetTargets implements scheduling.Policy.
func (c *Policy) SetTargets(now time.Time, targets []scheduling.Target) {
	if c.targetsChanged(targets) {
		c.split(targets)
	}
	members := make([][]scheduling.Target, len(c.pools))
	usable := make([]int, len(c.pools))
	for _, t := range targets {
		i := c.cellOfTarget[t.Name]
		members[i] = append(members[i], t)
		if t.Healthy && !t.Leaving && !t.Standby {
			usable[i]++
		}
	}
	for i, pool := range c.pools {
		pool.SetTargets(now, members[i])
		c.reportedLoads[i].Targets = usable[i]
		if usable[i] == 0 {
			c.withdrawWaiting(i)
		}
	}
}

// targetsChanged reports whether the set of target names differs from that of the
// last split.
func (c *Policy) targetsChanged(targets []scheduling.Target) bool {
	if len(targets) != len(c.cellOfTarget) {
		return true
	}
	for _, t := range targets {
		if _, ok := c.cellOfTarget[t.Name]; !ok {
			return true
		}
	}
	return false
}

// split assigns the targets to cells and adds pools for new cells.
func (c *Policy) split(targets []scheduling.Target) {
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.Name
	}
	clear(c.cellOfTarget)
	cells := Split(names)
	for i, cell := range cells {
		for _, name := range cell {
			c.cellOfTarget[name] = i
		}
	}
	for len(c.pools) < len(cells) {
		c.pools = append(c.pools, scheduling.NewPool(c.config))
		c.reportedLoads = append(c.reportedLoads, Load{})
		c.requests = append(c.requests, 0)
	}
}

// withdrawWaiting withdraws the waiting requests of a cell that has no usable target,
// so that the next Decide submits them again.
func (c *Policy) withdrawWaiting(cell int) {
	for _, r := range c.pools[cell].WithdrawAll() {
		c.untrack(r.Ticket)
		c.unplaced = append(c.unplaced, r)
	}
}

// ObserveCache implements scheduling.Policy.
func (c *Policy) ObserveCache(now time.Time, update scheduling.CacheUpdate) {
	if i, ok := c.cellOfTarget[update.Target]; ok {
		c.pools[i].ObserveCache(now, update)
	}
}

// Submit implements scheduling.Policy.
func (c *Policy) Submit(now time.Time, r scheduling.Request) {
	if now.Sub(c.reportedAt) >= loadReportInterval {
		c.reportedAt = now
		for i := range c.reportedLoads {
			c.reportedLoads[i].Requests = c.requests[i]
		}
	}
	i := Choose(&r, c.reportedLoads)
	if i < 0 {
		c.unplaced = append(c.unplaced, r)
		return
	}
	c.cellOfTicket[r.Ticket] = i
	c.requests[i]++
	c.pools[i].Submit(now, r)
}

// Cancel implements scheduling.Policy.
func (c *Policy) Cancel(now time.Time, ticket string) {
	if i, ok := c.cellOfTicket[ticket]; ok {
		c.pools[i].Cancel(now, ticket)
		c.untrack(ticket)
	}
}

// Finish implements scheduling.Policy.
func (c *Policy) Finish(now time.Time, f scheduling.Finished) {
	if i, ok := c.cellOfTicket[f.Ticket]; ok {
		c.pools[i].Finish(now, f)
		c.untrack(f.Ticket)
	}
}

// Crashed implements scheduling.Policy.
func (c *Policy) Crashed(now time.Time, target string) {
	if i, ok := c.cellOfTarget[target]; ok {
		c.pools[i].Crashed(now, target)
	}
}

// Decide implements scheduling.Policy.
func (c *Policy) Decide(now time.Time) scheduling.Decisions {
	unplaced := c.unplaced
	c.unplaced = nil
	for _, r := range unplaced {
		c.Submit(now, r)
	}
	var all scheduling.Decisions
	for i := range c.pools {
		all = c.collect(all, c.pools[i].Decide(now))
	}
	return all
}

// DecideFor decides only in the cell of the given request, as the cell's owner does.
func (c *Policy) DecideFor(now time.Time, ticket string) scheduling.Decisions {
	i, ok := c.cellOfTicket[ticket]
	if !ok {
		return scheduling.Decisions{}
	}
	return c.collect(scheduling.Decisions{}, c.pools[i].Decide(now))
}

// collect appends decisions to total and stops tracking the rejected requests.
func (c *Policy) collect(total, d scheduling.Decisions) scheduling.Decisions {
	total.Grants = append(total.Grants, d.Grants...)
	total.Rejections = append(total.Rejections, d.Rejections...)
	for _, r := range d.Rejections {
		c.untrack(r.Ticket)
	}
	return total
}

// NextDecision implements scheduling.Policy.
func (c *Policy) NextDecision(now time.Time) time.Time {
	var next time.Time
	if len(c.unplaced) > 0 {
		next = now.Add(loadReportInterval)
	}
	for _, pool := range c.pools {
		at := pool.NextDecision(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// untrack removes a request from the counts of its cell.
func (c *Policy) untrack(ticket string) {
	if i, ok := c.cellOfTicket[ticket]; ok {
		c.requests[i]--
		delete(c.cellOfTicket, ticket)
	}
}

package prove

import (
	"fmt"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

// pastDispatch is longer than the window in which a claim may be dispatched and
// than the peers' suspicion.
const pastDispatch = 7 * time.Second

// callStep is a step of a call at which its gateway is stopped.
type callStep struct {
	name  string
	block func(c *cluster, mode harness.Mode)
	mode  harness.Mode
}

func callSteps() []callStep {
	store := func(c *cluster, mode harness.Mode) { c.hosts[0].storeLink.SetMode(mode) }
	services := func(c *cluster, mode harness.Mode) { c.eachService(func(s *target) { s.link.SetMode(mode) }) }
	return []callStep{
		{name: "before its claim", block: store, mode: harness.StallUp},
		{name: "after its claim, before it knows", block: store, mode: harness.StallDown},
		{name: "while the request leaves", block: services, mode: harness.StallUp},
		{name: "while the answer comes", block: services, mode: harness.StallDown},
	}
}

// TestAtMostOnceAtEachStep stops a gateway at each step of a call: for good, or
// for longer than its claim may be dispatched.
func TestAtMostOnceAtEachStep(t *testing.T) {
	t.Parallel()
	for _, step := range callSteps() {
		for _, kill := range []bool{true, false} {
			name := "gateway frozen " + step.name
			if kill {
				name = "gateway killed " + step.name
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				proveStep(t, name, step, kill)
			})
		}
	}
}

func proveStep(t *testing.T, name string, step callStep, kill bool) {
	if testing.Short() {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "at most once, true not-run", name, &figures)
	c := startCluster(t, clusterSize{hosts: 3, services: 2, engines: 1})
	holds := c.startHolds(t, "step", 6)
	holds.awaitCalls(t, 20+draw(t).IntN(60))
	step.block(c, step.mode)
	gateway := c.hosts[holds.awaitBlocked(t)].gateway
	if kill {
		gateway.Kill()
		step.block(c, harness.Pass)
	} else {
		gateway.Freeze()
		step.block(c, harness.Pass)
		<-time.After(pastDispatch)
		gateway.Thaw()
	}
	holds.awaitCalls(t, len(holds.snapshot())+60)
	outcomes, keys := holds.finish()
	figures = checkCalls(t, c, outcomes, keys)
}

func (h *holdTraffic) snapshot() []callOutcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outcomes[:len(h.outcomes):len(h.outcomes)]
}

// String names the outcome in failures.
func (o callOutcome) String() string {
	return fmt.Sprintf("%s by %d at %s-%s: %d %v %v", o.key, o.sender, o.begin, o.end, o.answer.status, o.answer.failure, o.err)
}

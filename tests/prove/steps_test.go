package prove

import (
	"fmt"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

// claimExpiredAfter is longer than a claimed call may still be dispatched and than
// peers take to declare a silent host dead.
const claimExpiredAfter = 7 * time.Second

// callStep is a step of a call at which its gateway is killed or frozen. The links
// that the step needs are stalled so that the call stops there.
type callStep struct {
	name        string
	setLinkMode func(c *cluster, mode harness.Mode)
	mode        harness.Mode
}

func callSteps() []callStep {
	store := func(c *cluster, mode harness.Mode) { c.hosts[0].storeLink.SetMode(mode) }
	services := func(c *cluster, mode harness.Mode) { c.eachService(func(s *target) { s.link.SetMode(mode) }) }
	return []callStep{
		{name: "before its claim", setLinkMode: store, mode: harness.StallUp},
		{name: "after its claim, before it knows", setLinkMode: store, mode: harness.StallDown},
		{name: "while the request leaves", setLinkMode: services, mode: harness.StallUp},
		{name: "while the answer comes", setLinkMode: services, mode: harness.StallDown},
	}
}

// TestAtMostOnceAtEachStep kills a gateway at each step of a call, or freezes it for
// longer than the claimed call may be dispatched.
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
				runCallStep(t, name, step, kill)
			})
		}
	}
}

func runCallStep(t *testing.T, name string, step callStep, kill bool) {
	if testing.Short() {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "at most once, true not-run", name, &summary)
	c := startCluster(t, clusterSpec{hosts: 3, services: 2, engines: 1})
	holds := c.startHolds(t, "step", 6)
	holds.awaitCalls(t, 20+randomFor(t).IntN(60))
	step.setLinkMode(c, step.mode)
	gateway := c.hosts[holds.awaitBlocked(t)].gateway
	if kill {
		gateway.Kill()
		step.setLinkMode(c, harness.Pass)
	} else {
		gateway.Freeze()
		step.setLinkMode(c, harness.Pass)
		<-time.After(claimExpiredAfter)
		gateway.Thaw()
	}
	holds.awaitCalls(t, len(holds.snapshot())+60)
	outcomes, keys := holds.finish()
	summary = checkCalls(t, c, outcomes, keys)
}

func (h *holdTraffic) snapshot() []callOutcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outcomes[:len(h.outcomes):len(h.outcomes)]
}

// String formats the outcome for failure messages.
func (o callOutcome) String() string {
	return fmt.Sprintf("%s by %d at %s-%s: %d %v %v", o.key, o.sender, o.begin, o.end, o.answer.status, o.answer.failure, o.err)
}

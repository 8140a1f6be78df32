package prove

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// callOutcome is what one attempt of a call was told.
type callOutcome struct {
	key    string
	answer plainAnswer
	err    error

	sender     int
	begin, end time.Duration // since the start of the traffic
}

// callFault is one way to disturb calls that may run at most once.
type callFault struct {
	name  string
	short bool
	// bring disturbs the cluster while callers send; it returns the function
	// that ends the fault.
	bring func(c *cluster) func()
}

// callFaults are the faults against calls that may run at most once.
func callFaults() []callFault {
	return slices.Concat(hostCallFaults(), storeCallFaults(), targetCallFaults())
}

// hostCallFaults are the faults of the hosts.
func hostCallFaults() []callFault {
	return []callFault{
		{name: "none", short: true, bring: func(*cluster) func() { return nothing }},
		{name: "gateway killed", short: true, bring: func(c *cluster) func() {
			c.hosts[0].gateway.Kill()
			return nothing
		}},
		{name: "gateway frozen past its leases", bring: func(c *cluster) func() {
			c.hosts[0].gateway.Freeze()
			<-time.After(4 * time.Second) // longer than any lease and suspicion
			c.hosts[0].gateway.Thaw()
			return nothing
		}},
		{name: "gateway killed and store answers lost", bring: func(c *cluster) func() {
			c.storeFault(memstore.Fault{LoseAnswers: 0.5})
			c.hosts[0].gateway.Kill()
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "agent frozen past suspicion, then thawed", bring: func(c *cluster) func() {
			c.hosts[0].agent.Freeze()
			<-time.After(pastSuspicion)
			c.hosts[0].agent.Thaw()
			return nothing
		}},
		{name: "all agents killed", bring: func(c *cluster) func() {
			for _, h := range c.hosts {
				h.agent.Kill()
			}
			return nothing
		}},
	}
}

// storeCallFaults are the faults of the store and the links to it.
func storeCallFaults() []callFault {
	return []callFault{
		{name: "store down", short: true, bring: func(c *cluster) func() {
			c.storeFault(memstore.Fault{Outage: true})
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "store link cut", bring: func(c *cluster) func() {
			for _, h := range c.hosts {
				h.storeLink.SetMode(harness.CloseNew)
				h.storeLink.CloseConnections()
			}
			return func() { c.setStoreLinks(harness.Pass) }
		}},
		{name: "store link stalled", bring: func(c *cluster) func() {
			c.setStoreLinks(harness.Stall)
			return func() { c.setStoreLinks(harness.Pass) }
		}},
		{name: "store answers lost after the write", short: true, bring: func(c *cluster) func() {
			c.storeFault(memstore.Fault{LoseAnswers: 0.5})
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "store slow", bring: func(c *cluster) func() {
			c.storeFault(memstore.Fault{AnswerDelay: 400 * time.Millisecond})
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "store writes take effect late", bring: func(c *cluster) func() {
			c.storeFault(memstore.Fault{RequestDelay: 1500 * time.Millisecond}) // longer than a claim is awaited
			return func() { c.storeFault(memstore.Fault{}) }
		}},
	}
}

// targetCallFaults are the faults of the targets and the links to them.
func targetCallFaults() []callFault {
	return []callFault{
		{name: "target killed", bring: func(c *cluster) func() {
			c.services[0].process.Kill()
			return nothing
		}},
		{name: "target link cut before its answer", bring: func(c *cluster) func() {
			for _, s := range c.services {
				s.link.CloseAfterBytes(0, 20)
				s.link.CloseConnections()
			}
			return func() { c.eachService(func(s *target) { s.link.CloseAfterBytes(0, 0) }) }
		}},
		{name: "target link cut inside the request", bring: func(c *cluster) func() {
			for _, s := range c.services {
				s.link.CloseAfterBytes(60, 0)
				s.link.CloseConnections()
			}
			return func() { c.eachService(func(s *target) { s.link.CloseAfterBytes(0, 0) }) }
		}},
		{name: "target link stalled", bring: func(c *cluster) func() {
			c.eachService(func(s *target) { s.link.SetMode(harness.StallDown) })
			return func() { c.eachService(func(s *target) { s.link.SetMode(harness.Pass) }) }
		}},
	}
}

func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range callFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			proveCalls(t, fault)
		})
	}
}

func proveCalls(t *testing.T, fault callFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "at most once, true not-run", fault.name, &figures)
	c := startCluster(t, clusterSize{hosts: 3, services: 2, engines: 1})
	const keys, senders = 24, 3
	outcomes := c.sendHolds(t, fault, keys, senders)
	figures = checkCalls(t, c, outcomes, keys)
}

// sendHolds lets several senders resend every key to several gateways at once
// while the fault comes and goes.
func (c *cluster) sendHolds(t *testing.T, fault callFault, keys, senders int) []callOutcome {
	var mu sync.Mutex
	var outcomes []callOutcome
	var open sync.WaitGroup
	began := make(chan struct{})
	var once sync.Once
	r := draw(t)
	start := time.Now()
	trigger := 1 + r.IntN(keys/2)
	for s := range senders {
		open.Add(1)
		go func() {
			defer open.Done()
			for k := range keys {
				if k == trigger {
					once.Do(func() { close(began) })
				}
				key := fmt.Sprintf("hold-%d", k)
				h := c.hosts[(k+s)%len(c.hosts)]
				sent := time.Since(start)
				answer, err := plain(t, h.url, keyDesk, http.MethodPost, "/services/booking/seat-holds", key, `{"berth":"`+key+`"}`)
				mu.Lock()
				outcomes = append(outcomes, callOutcome{key: key, answer: answer, err: err, sender: s, begin: sent, end: time.Since(start)})
				mu.Unlock()
			}
		}()
	}
	<-began
	end := fault.bring(c)
	<-time.After(2 * time.Second) // lets calls meet the fault
	end()
	open.Wait()
	return outcomes
}

// checkCalls requires that no key ran twice, that every success ran, that all
// successes of a key are equal, and that a key of which every answer said "not
// run" did not run.
func checkCalls(t *testing.T, c *cluster, outcomes []callOutcome, keys int) string {
	t.Helper()
	ran := c.executions()
	for key, n := range ran {
		require.LessOrEqualf(t, n, 1, "key %s ran %d times", key, n)
	}
	checkCallHistory(t, outcomes, ran)
	answers := make(map[string]string)
	succeeded, notRun, unknown, cut := 0, 0, 0, 0
	maybe := make(map[string]bool) // keys of which some answer allows that they ran
	for _, o := range outcomes {
		switch {
		case o.err != nil:
			cut++
			maybe[o.key] = true
		case o.answer.failure != nil && o.answer.failure.Ran == problem.RanNo:
			notRun++
		case o.answer.failure != nil:
			unknown++
			maybe[o.key] = true
		default:
			succeeded++
			maybe[o.key] = true
			require.Equalf(t, 1, ran[o.key], "key %s was answered but ran %d times", o.key, ran[o.key])
			if before, ok := answers[o.key]; ok {
				require.Equalf(t, before, o.answer.body, "key %s: two answers", o.key)
			}
			answers[o.key] = o.answer.body
		}
	}
	for key := range ran {
		require.Truef(t, maybe[key], "key %s ran although every answer said not run", key)
	}
	return fmt.Sprintf("%d keys, %d attempts: %d answered, %d not run, %d unknown, %d cut; %d executions",
		keys, len(outcomes), succeeded, notRun, unknown, cut, len(ran))
}

func (c *cluster) setStoreLinks(mode harness.Mode) {
	for _, h := range c.hosts {
		h.storeLink.SetMode(mode)
	}
}

func (c *cluster) eachService(do func(*target)) {
	for _, s := range c.services {
		do(s)
	}
}

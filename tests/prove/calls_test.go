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

// callOutcome is the result of one attempt of a call.
type callOutcome struct {
	key    string
	answer plainAnswer
	err    error

	sender     int
	begin, end time.Duration // since the start of the traffic
}

// callFault is one fault against calls that may run at most once.
type callFault struct {
	name  string
	short bool
	// inject starts the fault while callers send and returns the function that ends
	// it.
	inject func(c *cluster) func()
	// resend makes callers send every key once more after the fault, when records that
	// the fault lost are missed.
	resend bool
}

// callFaults returns the faults against calls that may run at most once.
func callFaults() []callFault {
	return slices.Concat(hostCallFaults(), storeCallFaults(), targetCallFaults())
}

// hostCallFaults returns the faults of the hosts.
func hostCallFaults() []callFault {
	return []callFault{
		{name: "none", short: true, inject: func(*cluster) func() { return noop }},
		{name: "gateway killed", short: true, inject: func(c *cluster) func() {
			c.hosts[0].gateway.Kill()
			return noop
		}},
		{name: "gateway frozen past its leases", inject: func(c *cluster) func() {
			c.hosts[0].gateway.Freeze()
			<-time.After(4 * time.Second) // longer than any lease and than peers take to suspect a host
			c.hosts[0].gateway.Thaw()
			return noop
		}},
		{name: "gateway killed and store answers lost", inject: func(c *cluster) func() {
			c.storeFault(memstore.Fault{LoseAnswers: 0.5})
			c.hosts[0].gateway.Kill()
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "agent frozen past suspicion, then thawed", inject: func(c *cluster) func() {
			c.hosts[0].agent.Freeze()
			<-time.After(declaredDeadAfter)
			c.hosts[0].agent.Thaw()
			return noop
		}},
		{name: "all agents killed", inject: func(c *cluster) func() {
			for _, h := range c.hosts {
				h.agent.Kill()
			}
			return noop
		}},
	}
}

// storeCallFaults returns the faults of the store and the links to it.
func storeCallFaults() []callFault {
	return []callFault{
		{name: "store down", short: true, inject: func(c *cluster) func() {
			c.storeFault(memstore.Fault{Outage: true})
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "store link cut", inject: func(c *cluster) func() {
			for _, h := range c.hosts {
				h.storeLink.SetMode(harness.CloseNew)
				h.storeLink.CloseConnections()
			}
			return func() { c.setStoreLinks(harness.Pass) }
		}},
		{name: "store link stalled", inject: func(c *cluster) func() {
			c.setStoreLinks(harness.Stall)
			return func() { c.setStoreLinks(harness.Pass) }
		}},
		{name: "store answers lost after the write", short: true, inject: func(c *cluster) func() {
			c.storeFault(memstore.Fault{LoseAnswers: 0.5})
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "store slow", inject: func(c *cluster) func() {
			c.storeFault(memstore.Fault{AnswerDelay: 400 * time.Millisecond})
			return func() { c.storeFault(memstore.Fault{}) }
		}},
		{name: "store restored from a copy", short: true, resend: true, inject: func(c *cluster) func() {
			c.copyStore()
			<-time.After(300 * time.Millisecond) // calls are claimed and run meanwhile
			c.restoreStore()
			return noop
		}},
		{name: "store restored from a copy, gateway killed", resend: true, inject: func(c *cluster) func() {
			c.copyStore()
			<-time.After(300 * time.Millisecond)
			c.hosts[0].gateway.Kill()
			c.restoreStore()
			return noop
		}},
		{name: "store writes take effect late", inject: func(c *cluster) func() {
			c.storeFault(memstore.Fault{RequestDelay: 1500 * time.Millisecond}) // longer than a gateway waits for a claim
			return func() { c.storeFault(memstore.Fault{}) }
		}},
	}
}

// targetCallFaults returns the faults of the targets and the links to them.
func targetCallFaults() []callFault {
	return []callFault{
		{name: "target killed", inject: func(c *cluster) func() {
			c.services[0].process.Kill()
			return noop
		}},
		{name: "target link cut before its answer", inject: func(c *cluster) func() {
			for _, s := range c.services {
				s.link.CloseAfterBytes(0, 20)
				s.link.CloseConnections()
			}
			return func() { c.eachService(func(s *target) { s.link.CloseAfterBytes(0, 0) }) }
		}},
		{name: "target link cut inside the request", inject: func(c *cluster) func() {
			for _, s := range c.services {
				s.link.CloseAfterBytes(60, 0)
				s.link.CloseConnections()
			}
			return func() { c.eachService(func(s *target) { s.link.CloseAfterBytes(0, 0) }) }
		}},
		{name: "target link stalled", inject: func(c *cluster) func() {
			c.eachService(func(s *target) { s.link.SetMode(harness.StallDown) })
			return func() { c.eachService(func(s *target) { s.link.SetMode(harness.Pass) }) }
		}},
	}
}

// TestAtMostOnce injects faults while several callers send the same calls through
// several gateways. No call may run twice, and none may run that was reported as not
// run.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range callFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runCallFault(t, fault)
		})
	}
}

func runCallFault(t *testing.T, fault callFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "at most once, true not-run", fault.name, &summary)
	c := startCluster(t, clusterSpec{hosts: 3, services: 2, engines: 1})
	const keys, senders = 24, 3
	outcomes := c.sendHolds(t, fault, keys, senders)
	summary = checkCalls(t, c, outcomes, keys)
}

// sendHolds lets several senders send every key, at the same time and through
// different gateways, while the fault is injected and ended.
func (c *cluster) sendHolds(t *testing.T, fault callFault, keys, senders int) []callOutcome {
	var mu sync.Mutex
	var outcomes []callOutcome
	var wg sync.WaitGroup
	faultDue := make(chan struct{})
	var once sync.Once
	r := randomFor(t)
	start := time.Now()
	trigger := 1 + r.IntN(keys/2)
	send := func(s, k int) {
		key := fmt.Sprintf("hold-%d", k)
		h := c.hosts[(k+s)%len(c.hosts)]
		sent := time.Since(start)
		answer, err := callPlain(t, h.callerURL, keyDesk, http.MethodPost, "/services/booking/seat-holds", key, `{"berth":"`+key+`"}`)
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, callOutcome{key: key, answer: answer, err: err, sender: s, begin: sent, end: time.Since(start)})
	}
	for s := range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range keys {
				if k == trigger {
					once.Do(func() { close(faultDue) })
				}
				send(s, k)
			}
		}()
	}
	<-faultDue
	end := fault.inject(c)
	<-time.After(2 * time.Second) // so that the fault affects calls
	end()
	wg.Wait()
	if fault.resend {
		for k := range keys {
			send(senders, k)
		}
	}
	return outcomes
}

// checkCalls requires that no key ran twice, that every successful call ran, that all
// successful answers for a key are equal, and that a key did not run if every answer
// said "not run".
func checkCalls(t *testing.T, c *cluster, outcomes []callOutcome, keys int) string {
	t.Helper()
	ran := c.executions()
	for key, n := range ran {
		require.LessOrEqualf(t, n, 1, "key %s ran %d times", key, n)
	}
	checkCallHistory(t, outcomes, ran)
	answers := make(map[string]string)
	succeeded, notRun, unknown, disconnected := 0, 0, 0, 0
	mayHaveRun := make(map[string]bool) // keys that may have run according to some answer
	for _, o := range outcomes {
		switch {
		case o.err != nil:
			disconnected++
			mayHaveRun[o.key] = true
		case o.answer.failure != nil && o.answer.failure.Ran == problem.RanNo:
			notRun++
		case o.answer.failure != nil:
			unknown++
			mayHaveRun[o.key] = true
		default:
			succeeded++
			mayHaveRun[o.key] = true
			require.Equalf(t, 1, ran[o.key], "key %s was answered but ran %d times", o.key, ran[o.key])
			if before, ok := answers[o.key]; ok {
				require.Equalf(t, before, o.answer.body, "key %s: two different answers", o.key)
			}
			answers[o.key] = o.answer.body
		}
	}
	for key := range ran {
		require.Truef(t, mayHaveRun[key], "key %s ran although every answer said not run", key)
	}
	return fmt.Sprintf("%d keys, %d attempts: %d answered, %d not run, %d unknown, %d cut; %d executions",
		keys, len(outcomes), succeeded, notRun, unknown, disconnected, len(ran))
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

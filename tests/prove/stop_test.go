package prove

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// stopFault is one planned stop.
type stopFault struct {
	name  string
	short bool
	bring func(t *testing.T, c *cluster)
	hosts int // 0 means the usual number
	// longer makes the usual streams and the long one longer.
	longer int
}

func stopFaults() []stopFault {
	return []stopFault{
		{name: "one gateway", short: true, bring: func(t *testing.T, c *cluster) { planned(t, c.hosts[0].gateway) }},
		{name: "one agent", bring: func(t *testing.T, c *cluster) { planned(t, c.hosts[0].agent) }},
		{name: "rolling restart of all hosts", bring: rollingRestart},
		{name: "rolling restart of 8 hosts", hosts: 8, longer: 2, bring: rollingRestart},
		{name: "all agents at once", bring: func(t *testing.T, c *cluster) {
			for _, h := range c.hosts {
				h.agent.Signal(syscall.SIGTERM)
			}
			for _, h := range c.hosts {
				planned(t, h.agent)
			}
		}},
		{name: "host, while its agent is frozen", bring: func(t *testing.T, c *cluster) {
			c.hosts[0].agent.Freeze()
			planned(t, c.hosts[0].gateway)
			c.hosts[0].agent.Thaw()
			planned(t, c.hosts[0].agent)
		}},
		{name: "one gateway, store down", bring: func(t *testing.T, c *cluster) {
			c.storeFault(memstore.Fault{Outage: true})
			planned(t, c.hosts[0].gateway)
			c.storeFault(memstore.Fault{})
		}},
		{name: "two gateways at once", bring: func(t *testing.T, c *cluster) {
			c.hosts[0].gateway.Signal(syscall.SIGTERM)
			planned(t, c.hosts[1].gateway)
			c.hosts[0].gateway.Wait()
			require.Zero(t, c.hosts[0].gateway.ExitCode())
		}},
	}
}

// planned stops a process in order and requires exit code 0.
func planned(t *testing.T, p *harness.Process) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
	case <-time.After(harness.DrainTimeout):
		require.FailNowf(t, "planned stop", "%s did not end within %s", p.Name, harness.DrainTimeout)
	}
	require.Zerof(t, p.ExitCode(), "exit code of %s", p.Name)
}

func rollingRestart(t *testing.T, c *cluster) {
	for _, h := range c.hosts {
		planned(t, h.gateway)
		planned(t, h.agent)
		h.agent.Restart(t)
		h.gateway.Restart(t)
		c.awaitReady(h)
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	for _, fault := range stopFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			proveStop(t, fault)
		})
	}
}

func proveStop(t *testing.T, fault stopFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "planned stop cuts nothing", fault.name, &figures)
	c := startCluster(t, clusterSize{hosts: max(3, fault.hosts), engines: 3})
	// Callers do not reconnect: a cut connection is a failure. One stream is
	// longer than the others.
	longer := max(1, fault.longer)
	usual := trafficSpec{streams: 12, tokens: 250 * longer, trigger: 200, idPrefix: "usual"}
	long := trafficSpec{streams: 1, tokens: 600 * longer, trigger: 1, idPrefix: "long"}
	tr, longTr := startTraffic(c, usual), startTraffic(c, long)
	tr.awaitReached()
	begin := time.Now()
	fault.bring(t, c)
	took := time.Since(begin)
	tr.finish()
	longTr.finish()
	tokens := tr.checkWhole(t, usual, "v1") + longTr.checkWhole(t, long, "v1")
	figures = fmt.Sprintf("%d streams, %d tokens, stop took %s", usual.streams+1, tokens, took.Round(time.Millisecond))
}

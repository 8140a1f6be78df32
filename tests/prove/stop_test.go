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

// stopFault is one kind of planned stop.
type stopFault struct {
	name   string
	short  bool
	inject func(t *testing.T, c *cluster)
	hosts  int // at least 3 are started
	// lengthFactor multiplies the lengths of all streams; 0 means 1.
	lengthFactor int
}

func stopFaults() []stopFault {
	return []stopFault{
		{name: "one gateway", short: true, inject: func(t *testing.T, c *cluster) { stopPlanned(t, c.hosts[0].gateway) }},
		{name: "one agent", inject: func(t *testing.T, c *cluster) { stopPlanned(t, c.hosts[0].agent) }},
		{name: "rolling restart of all hosts", inject: rollingRestart},
		{name: "rolling restart of 8 hosts", hosts: 8, lengthFactor: 2, inject: rollingRestart},
		{name: "all agents at once", inject: func(t *testing.T, c *cluster) {
			for _, h := range c.hosts {
				h.agent.Signal(syscall.SIGTERM)
			}
			for _, h := range c.hosts {
				stopPlanned(t, h.agent)
			}
		}},
		{name: "host, while its agent is frozen", inject: func(t *testing.T, c *cluster) {
			c.hosts[0].agent.Freeze()
			stopPlanned(t, c.hosts[0].gateway)
			c.hosts[0].agent.Thaw()
			stopPlanned(t, c.hosts[0].agent)
		}},
		{name: "one gateway, store down", inject: func(t *testing.T, c *cluster) {
			c.storeFault(memstore.Fault{Outage: true})
			stopPlanned(t, c.hosts[0].gateway)
			c.storeFault(memstore.Fault{})
		}},
		{name: "two gateways at once", inject: func(t *testing.T, c *cluster) {
			c.hosts[0].gateway.Signal(syscall.SIGTERM)
			stopPlanned(t, c.hosts[1].gateway)
			c.hosts[0].gateway.Wait()
			require.Zero(t, c.hosts[0].gateway.ExitCode())
		}},
	}
}

// stopPlanned stops a process with SIGTERM and requires exit code 0 in time.
func stopPlanned(t *testing.T, p *harness.Process) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
	case <-time.After(harness.DrainTimeout):
		require.FailNowf(t, "planned stop", "%s did not end within %s", p.Name, harness.DrainTimeout)
	}
	require.Zerof(t, p.ExitCode(), "exit code of %s", p.Name)
}

// rollingRestart restarts one host after the other as planned.
func rollingRestart(t *testing.T, c *cluster) {
	for _, h := range c.hosts {
		stopPlanned(t, h.gateway)
		stopPlanned(t, h.agent)
		h.agent.Restart(t)
		h.gateway.Restart(t)
		c.awaitReady(h)
	}
}

// TestPlannedStopCutsNothing checks that planned stops break no stream of callers that
// do not reconnect.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	for _, fault := range stopFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runStopFault(t, fault)
		})
	}
}

func runStopFault(t *testing.T, fault stopFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "planned stop cuts nothing", fault.name, &summary)
	c := startCluster(t, clusterSpec{hosts: max(3, fault.hosts), engines: 3})
	// Callers do not reconnect, so that a closed connection is a failure. One stream
	// is longer than the others.
	lengthFactor := max(1, fault.lengthFactor)
	usual := trafficSpec{streams: 12, tokens: 250 * lengthFactor, trigger: 200, idPrefix: "usual"}
	long := trafficSpec{streams: 1, tokens: 600 * lengthFactor, trigger: 1, idPrefix: "long"}
	tr, longTr := startTraffic(c, usual), startTraffic(c, long)
	tr.awaitReached()
	begin := time.Now()
	fault.inject(t, c)
	took := time.Since(begin)
	tr.finish()
	longTr.finish()
	tokens := tr.checkComplete(t, usual, "v1") + longTr.checkComplete(t, long, "v1")
	summary = fmt.Sprintf("%d streams, %d tokens, stop took %s", usual.streams+1, tokens, took.Round(time.Millisecond))
}

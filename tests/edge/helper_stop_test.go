package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// startCuttableEngines starts engines that can be cut off from a host.
func startCuttableEngines(t *testing.T, f *fleet, n int, interval time.Duration) (engines []*standin.Engine, listeners []*cuttableListener) {
	t.Helper()
	set := standin.NewEngines()
	set.SetEventInterval(func(string, int) time.Duration { return interval })
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := &cuttableListener{Listener: listener}
		l.cutIP.Store("")
		e := set.Start(fmt.Sprintf("e-%d", i), l)
		t.Cleanup(e.Crash)
		f.register(e.ID, engineService, e.Address(), "ready")
		engines, listeners = append(engines, e), append(listeners, l)
	}
	return engines, listeners
}

// noticeCut sends requests until one is served by way of another host.
func noticeCut(t *testing.T, cut *host) {
	t.Helper()
	sent := 0
	require.Eventually(t, func() bool {
		sent++
		a := send(generationRequest(t.Context(), cut, fmt.Sprintf("noticing-%d", sent), 1))
		return a.err == nil && a.status == http.StatusOK
	}, waitTimeout, checkInterval)
}

// A host that was cut off from the engines passed a stream on by way of another host. That one is
// stopped as planned once the cut has ended. It took its streams with it at the end of its grace
// period, with the engine at work and the first host able to reach all engines.
func TestStreamLeavesItsStoppingHelper(t *testing.T) {
	const events, interval = 350, 20 * time.Millisecond
	f := newFleet(t)
	f.ownIPs, f.grace = true, 4*time.Second
	f.replicaShare = 0 // a run with a replica goes on at its engine
	f.configure()
	engines, listeners := startCuttableEngines(t, f, 2, interval)
	cut, helper := f.startHost(), f.startHost()
	for _, l := range listeners {
		l.cutIP.Store(hostIP(0))
	}
	noticeCut(t, cut)
	pending := sendAsync(generationRequest(t.Context(), cut, "r-1", events))
	require.Eventually(t, func() bool { return engines[0].EventsProduced("r-1")+engines[1].EventsProduced("r-1") > 5 }, waitTimeout, checkInterval)
	for _, l := range listeners {
		l.cutIP.Store("")
	}
	helper.stop()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

// With a single engine a run can't leave its helper. A stream that may outlast a helper that is
// stopped is then rejected, which is true, instead of being sent and cut.
func TestStreamThatMayOutlastItsHelperIsNotSent(t *testing.T) {
	f := newFleet(t)
	f.ownIPs, f.grace = true, 4*time.Second
	f.configure()
	engines, listeners := startCuttableEngines(t, f, 1, time.Millisecond)
	cut := f.startHost()
	f.startHost()
	listeners[0].cutIP.Store(hostIP(0))
	noticeCut(t, cut)
	started := len(engines[0].Started())
	a := send(generationRequest(t.Context(), cut, "r-1", 4000))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Len(t, engines[0].Started(), started)
}

package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

const (
	longGeneration  = 200 // events, about a second
	shortGeneration = 5
)

// startEngineFleet starts one host and n engines, e-1 to e-n.
func startEngineFleet(t *testing.T, n int) (*fleet, *host, []*standin.Engine) {
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	var engines []*standin.Engine
	for i := range n {
		engines = append(engines, f.startEngine(set, fmt.Sprintf("e-%d", i+1)))
	}
	return f, f.startHost(), engines
}

// waitForBusyEngine waits for the first run and returns its engine, and the other engines.
func waitForBusyEngine(t *testing.T, engines []*standin.Engine) (*standin.Engine, []*standin.Engine) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(checkInterval) {
		for i, e := range engines {
			select {
			case <-e.FirstRun():
				return e, append(append([]*standin.Engine(nil), engines[:i]...), engines[i+1:]...)
			default:
			}
		}
	}
	t.Fatal("no run started")
	return nil, nil
}

// waitForReplica waits until the host knows the replica of a run. An engine holds a copy
// before the host receives its handle, and nobody can use one without.
func waitForReplica(t *testing.T, h *host) {
	t.Helper()
	require.Eventually(t, func() bool {
		return logContains(h, `"backup: replication finished","request":"r-1","route":"draft","result":"copied"`)
	}, waitTimeout, checkInterval)
}

// sendAsync sends a request in the background.
func sendAsync(r *http.Request) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- send(r) }()
	return out
}

func TestStreamIsForwardedUnchanged(t *testing.T) {
	_, h, engines := startEngineFleet(t, 1)
	a := send(generationRequest(t.Context(), h, "r-1", shortGeneration))
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", shortGeneration), a.body)
	require.Equal(t, "text/event-stream", a.header.Get("Content-Type"))
	require.Equal(t, "signed", a.header.Get(headers.Signature))
	require.Equal(t, []string{"r-1"}, engines[0].Started())
}

func TestRunMigratesOffLeavingEngine(t *testing.T) {
	f, h, engines := startEngineFleet(t, 3)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	source, others := waitForBusyEngine(t, engines)
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	resumed := 0
	for _, e := range others {
		resumed += len(e.Resumed())
		require.Empty(t, e.Started())
	}
	require.Equal(t, 1, resumed)
	for _, e := range others { // unused copies are released after the answer
		require.Eventually(t, func() bool { return e.HeldCopies() == 0 }, time.Second, checkInterval)
	}
}

// All runs of a leaving engine continue elsewhere, no matter which host forwards them.
func TestAllHostsMigrateRunsOffLeavingEngine(t *testing.T) {
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	engines := []*standin.Engine{f.startEngine(set, "e-1")}
	first, second := f.startHost(), f.startHost()
	var pending []<-chan answer
	for i := range 6 {
		h := []*host{first, second}[i%2]
		pending = append(pending, sendAsync(generationRequest(t.Context(), h, fmt.Sprintf("r-%d", i), longGeneration)))
	}
	require.Eventually(t, func() bool { return len(engines[0].Started()) == 6 }, waitTimeout, checkInterval)
	f.startEngine(set, "e-2")
	f.startEngine(set, "e-3")
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return logContains(h, `"target":"e-3"`) }, waitTimeout, checkInterval)
	}
	f.register("e-1", engineService, engines[0].Address(), "draining")
	for i, p := range pending {
		a := <-p
		require.NoError(t, a.err)
		require.Equal(t, standin.StreamText(fmt.Sprintf("r-%d", i), longGeneration), a.body)
	}
}

// The engine crashes between the first copy and the final copy of a migration. The run must
// continue from the first copy, without lost or repeated events.
func TestRunContinuesAtFirstCopyAfterCrash(t *testing.T) {
	f, h, engines := startEngineFleet(t, 2)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	source, _ := waitForBusyEngine(t, engines)
	var once sync.Once
	source.OnMove(func(final bool) {
		if !final {
			once.Do(func() { time.AfterFunc(time.Millisecond, source.Crash) })
		}
	})
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
}

// A stream that cannot be continued must not end like a complete one.
func TestBrokenStreamIsNotTerminatedCleanly(t *testing.T) {
	_, h, engines := startEngineFleet(t, 2)
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	source, others := waitForBusyEngine(t, engines)
	require.Eventually(t, func() bool { return source.EventsProduced("r-1") >= 20 }, waitTimeout, checkInterval)
	source.Crash()
	a := <-pending
	require.Error(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration)[:len(a.body)], a.body)
	require.Empty(t, others[0].Started())
}

func TestRunIsCanceledWhenCallerDisconnects(t *testing.T) {
	_, h, engines := startEngineFleet(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	response, err := client().Do(generationRequest(ctx, h, "r-1", 4000))
	require.NoError(t, err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	_ = response.Body.Close()
	require.Eventually(t, func() bool { return len(engines[0].Canceled()) == 1 }, 500*time.Millisecond, checkInterval)
}

func TestUnreachableEngineIsSkipped(t *testing.T) {
	f, h, _ := startEngineFleet(t, 1)
	f.register("e-9", engineService, closedAddress(), "ready")
	require.Eventually(t, func() bool { return logContains(h, `"target":"e-9"`) }, waitTimeout, checkInterval)
	for i := range 4 {
		a := send(generationRequest(t.Context(), h, fmt.Sprintf("r-%d", i), shortGeneration))
		require.Equal(t, http.StatusOK, a.status)
	}
}

// A host that shuts down finishes its streams, and still serves new requests until the
// platform has noticed that it isn't ready.
func TestShutdownDrainsStreams(t *testing.T) {
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	set := standin.NewEngines()
	e := f.startEngine(set, "e-1")
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	<-e.FirstRun()
	h.stop()
	require.Eventually(t, func() bool { return !h.isReady() }, waitTimeout, checkInterval)
	afterStop := sendAsync(generationRequest(t.Context(), h, "r-2", shortGeneration)) // callers arrive until the platform has noticed
	a, b := <-pending, <-afterStop
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	require.NoError(t, b.err)
	require.Equal(t, standin.StreamText("r-2", shortGeneration), b.body)
}

// An engine accepts requests and never answers, while its report and the target list call
// it healthy. The host must soon place runs elsewhere. Requests whose callers have left
// must not be sent again.
func TestUnresponsiveEngineIsAvoided(t *testing.T) {
	_, h, engines := startEngineFleet(t, 2)
	engines[0].StopAnswering()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 4 {
		go func() { _ = send(generationRequest(ctx, h, fmt.Sprintf("r-%d", i), shortGeneration)) }()
	}
	require.Eventually(t, func() bool { return logContains(h, "stream: engine is silent") }, waitTimeout, checkInterval)
	before := len(engines[0].Started())
	for i := range 8 {
		a := send(generationRequest(t.Context(), h, fmt.Sprintf("s-%d", i), shortGeneration))
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Len(t, engines[0].Started(), before)
}

// A stream's deadline is set on the caller's connection. It must not abort a later request
// on the same keep-alive connection.
func TestKeepAliveConnectionOutlivesStreamDeadline(t *testing.T) {
	f, h, _ := startEngineFleet(t, 1)
	f.startPlainTarget("d-1")
	require.Eventually(t, func() bool { return logContains(h, `"target":"d-1"`) }, waitTimeout, checkInterval)
	keepAliveClient := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer keepAliveClient.CloseIdleConnections()
	fetch := func(r *http.Request) (string, error) {
		response, err := keepAliveClient.Do(r)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	r := generationRequest(t.Context(), h, "r-1", shortGeneration)
	standin.SetDeadline(r, 300*time.Millisecond)
	body, err := fetch(r)
	require.NoError(t, err)
	require.Equal(t, standin.StreamText("r-1", shortGeneration), body)
	time.Sleep(1500 * time.Millisecond) // longer than the stream's deadline plus the allowance for slow callers
	body, err = fetch(h.request(t.Context(), http.MethodPost, "hold", "r-2", []byte("x")))
	require.NoError(t, err)
	require.Equal(t, "done r-2", body)
}

// An engine crashes without a leaving notice. Its run must continue at the replica, which
// must be released when the run ends.
func TestRunContinuesAtReplicaAfterCrash(t *testing.T) {
	_, h, engines := startEngineFleet(t, 3)
	const events = 800 // about four seconds
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	replicas := func() (n int) {
		for _, e := range others {
			n += e.HeldCopies()
		}
		return n
	}
	waitForReplica(t, h)
	require.Equal(t, 1, replicas())
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	for _, e := range others {
		require.Empty(t, e.Started())
	}
	require.Eventually(t, func() bool { return replicas() == 0 }, waitTimeout, checkInterval)
}

// A run that already has a replica migrates to it when its engine leaves.
func TestMigrationUsesExistingReplica(t *testing.T) {
	f, h, engines := startEngineFleet(t, 2)
	const events = 800
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	waitForReplica(t, h)
	require.Equal(t, 1, others[0].HeldCopies())
	f.register(source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Equal(t, []string{"r-1"}, others[0].Resumed())
	require.Eventually(t, func() bool { return source.HeldCopies() == 0 }, time.Second, checkInterval)
}

// Only the connection to the engine breaks, and the engine continues the run, as some
// engines do. It must be stopped there before it continues at the replica.
func TestRunIsStoppedAtEngineThatLostItsConnection(t *testing.T) {
	_, h, engines := startEngineFleet(t, 2)
	const events = 800
	engines[0].ContinueWithoutCaller()
	engines[1].ContinueWithoutCaller()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	waitForReplica(t, h)
	require.Equal(t, 1, others[0].HeldCopies())
	source.CloseStreams()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	sourceSpan, replicaSpan := source.Spans()[0], others[0].Spans()[0]
	require.Less(t, sourceSpan.To.Sub(replicaSpan.From), 400*time.Millisecond, "both engines executed the run at the same time")
}

// An engine stops sending while its connections stay open. Its run must continue at the
// replica long before the caller's deadline.
func TestRunContinuesAtReplicaWhenEngineFreezes(t *testing.T) {
	_, h, engines := startEngineFleet(t, 2)
	const events = 800
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	waitForReplica(t, h)
	require.Equal(t, 1, others[0].HeldCopies())
	source.Freeze()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Equal(t, []string{"r-1"}, others[0].Resumed())
}

// Short runs on the same route make the run seem about to end when its engine leaves.
func TestRunThatOutlastsItsEstimateIsCutWhenItsEngineExits(t *testing.T) {
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	engines := []*standin.Engine{f.startEngine(set, "e-1"), f.startEngine(set, "e-2")}
	set.SetEventInterval(func(request string, _ int) time.Duration {
		if request == "r-1" {
			return 60 * time.Millisecond
		}
		return standin.EventInterval
	})
	h := f.startHost()
	for i := range 20 {
		require.Equal(t, http.StatusOK, send(generationRequest(t.Context(), h, fmt.Sprintf("s-%d", i), 3)).status)
	}
	const events = 80 // about five seconds
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	var source *standin.Engine
	require.Eventually(t, func() bool {
		for _, e := range engines {
			if e.EventsProduced("r-1") > 0 {
				source = e
			}
		}
		return source != nil
	}, waitTimeout, checkInterval)
	f.register(source.ID, engineService, source.Address(), "draining")
	time.Sleep(2300 * time.Millisecond) // the notice is read up to half a second late
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
}

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
	longDraft  = 200 // events, about a second
	shortDraft = 5
)

func engineFleet(t *testing.T, n int) (*fleet, *host, []*standin.Engine) {
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	var all []*standin.Engine
	for i := range n {
		all = append(all, f.engine(set, fmt.Sprintf("e-%d", i+1)))
	}
	return f, f.start(), all
}

// busyOne returns the engine that has a run, and the others.
func busyOne(t *testing.T, all []*standin.Engine) (*standin.Engine, []*standin.Engine) {
	t.Helper()
	for deadline := time.Now().Add(waitFor); time.Now().Before(deadline); time.Sleep(checkEvery) {
		for i, e := range all {
			select {
			case <-e.FirstRun():
				return e, append(append([]*standin.Engine(nil), all[:i]...), all[i+1:]...)
			default:
			}
		}
	}
	t.Fatal("no run began")
	return nil, nil
}

func async(r *http.Request) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- send(r) }()
	return out
}

func TestStreamPassesUnchanged(t *testing.T) {
	_, h, all := engineFleet(t, 1)
	a := send(draft(t.Context(), h, "r-1", shortDraft))
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", shortDraft), a.body)
	require.Equal(t, "text/event-stream", a.header.Get("Content-Type"))
	require.Equal(t, "signed", a.header.Get(headers.Signature))
	require.Equal(t, []string{"r-1"}, all[0].Started())
}

func TestRunMovesOffALeavingEngine(t *testing.T) {
	f, h, all := engineFleet(t, 3)
	pending := async(draft(t.Context(), h, "r-1", longDraft))
	source, others := busyOne(t, all)
	f.register(source.ID, engines, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longDraft), a.body)
	resumed := 0
	for _, e := range others {
		resumed += len(e.Resumed())
		require.Empty(t, e.Started())
	}
	require.Equal(t, 1, resumed)
	for _, e := range others { // copies that stood by are freed after the answer
		require.Eventually(t, func() bool { return e.HeldCopies() == 0 }, time.Second, checkEvery)
	}
}

// All runs of a leaving engine go on, whatever host they came through.
func TestLeavingEngineIsEmptiedByAllHosts(t *testing.T) {
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	all := []*standin.Engine{f.engine(set, "e-1")}
	first, second := f.start(), f.start()
	var pending []<-chan answer
	for i := range 6 {
		h := []*host{first, second}[i%2]
		pending = append(pending, async(draft(t.Context(), h, fmt.Sprintf("r-%d", i), longDraft)))
	}
	require.Eventually(t, func() bool { return len(all[0].Started()) == 6 }, waitFor, checkEvery)
	f.engine(set, "e-2")
	f.engine(set, "e-3")
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return bytesContain(h, `"target":"e-3"`) }, waitFor, checkEvery)
	}
	f.register("e-1", engines, all[0].Address(), "draining")
	for i, p := range pending {
		a := <-p
		require.NoError(t, a.err)
		require.Equal(t, standin.StreamText(fmt.Sprintf("r-%d", i), longDraft), a.body)
	}
}

// The engine dies between the first copy and the final one.
func TestRunGoesOnAtItsCopyWhenTheEngineDies(t *testing.T) {
	f, h, all := engineFleet(t, 2)
	pending := async(draft(t.Context(), h, "r-1", longDraft))
	source, _ := busyOne(t, all)
	var once sync.Once
	source.OnMove(func(final bool) {
		if !final {
			once.Do(func() { time.AfterFunc(time.Millisecond, source.Crash) })
		}
	})
	f.register(source.ID, engines, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longDraft), a.body)
}

// A stream that nothing can continue must not look whole.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	_, h, all := engineFleet(t, 2)
	pending := async(draft(t.Context(), h, "r-1", longDraft))
	source, others := busyOne(t, all)
	require.Eventually(t, func() bool { return source.EventsProduced("r-1") >= 20 }, waitFor, checkEvery)
	source.Crash()
	a := <-pending
	require.Error(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longDraft)[:len(a.body)], a.body)
	require.Empty(t, others[0].Started())
}

func TestRunIsCanceledWhenItsCallerLeaves(t *testing.T) {
	_, h, all := engineFleet(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	response, err := client().Do(draft(ctx, h, "r-1", 4000))
	require.NoError(t, err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	_ = response.Body.Close()
	require.Eventually(t, func() bool { return len(all[0].Canceled()) == 1 }, 500*time.Millisecond, checkEvery)
}

func TestUnreachableEngineIsPassedOver(t *testing.T) {
	f, h, _ := engineFleet(t, 1)
	f.register("e-9", engines, closedAddress(), "ready")
	require.Eventually(t, func() bool { return bytesContain(h, `"target":"e-9"`) }, waitFor, checkEvery)
	for i := range 4 {
		a := send(draft(t.Context(), h, fmt.Sprintf("r-%d", i), shortDraft))
		require.Equal(t, http.StatusOK, a.status)
	}
}

// A planned stop lets streams end and says that the connection will.
func TestStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	set := standin.NewEngines()
	e := f.engine(set, "e-1")
	h := f.start()
	pending := async(draft(t.Context(), h, "r-1", longDraft))
	<-e.FirstRun()
	h.stop()
	require.Eventually(t, func() bool { return !h.isReady() }, waitFor, checkEvery)
	late := async(draft(t.Context(), h, "r-2", shortDraft)) // callers come until the platform has noticed
	a, b := <-pending, <-late
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longDraft), a.body)
	require.NoError(t, b.err)
	require.Equal(t, standin.StreamText("r-2", shortDraft), b.body)
}

// An engine that takes runs and never answers is passed over soon, although its
// own word and the list call it sound; callers that leave it are not sent again.
func TestSilentEngineIsPassedOver(t *testing.T) {
	_, h, all := engineFleet(t, 2)
	all[0].StopAnswering()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 4 {
		go func() { _ = send(draft(ctx, h, fmt.Sprintf("r-%d", i), shortDraft)) }()
	}
	require.Eventually(t, func() bool { return bytesContain(h, "stream: engine is silent") }, waitFor, checkEvery)
	before := len(all[0].Started())
	for i := range 8 {
		a := send(draft(t.Context(), h, fmt.Sprintf("s-%d", i), shortDraft))
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Len(t, all[0].Started(), before)
}

// The deadline of a stream does not outlive it on a kept connection.
func TestKeptConnectionServesAfterAStreamsDeadline(t *testing.T) {
	f, h, _ := engineFleet(t, 1)
	f.desk("d-1")
	require.Eventually(t, func() bool { return bytesContain(h, `"target":"d-1"`) }, waitFor, checkEvery)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer kept.CloseIdleConnections()
	over := func(r *http.Request) (string, error) {
		response, err := kept.Do(r)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	r := draft(t.Context(), h, "r-1", shortDraft)
	standin.SetDeadline(r, 300*time.Millisecond)
	body, err := over(r)
	require.NoError(t, err)
	require.Equal(t, standin.StreamText("r-1", shortDraft), body)
	time.Sleep(1500 * time.Millisecond) // beyond the stream's deadline and what is added for slow callers
	body, err = over(h.request(t.Context(), http.MethodPost, "hold", "r-2", []byte("x")))
	require.NoError(t, err)
	require.Equal(t, "done r-2", body)
}

// An engine dies without notice. Its run goes on at the copy that was kept for
// that, which ends with the run.
func TestRunGoesOnWhenItsEngineDiesWithoutNotice(t *testing.T) {
	_, h, all := engineFleet(t, 3)
	const events = 800 // some seconds
	pending := async(draft(t.Context(), h, "r-1", events))
	source, others := busyOne(t, all)
	copies := func() (n int) {
		for _, e := range others {
			n += e.HeldCopies()
		}
		return n
	}
	require.Eventually(t, func() bool { return copies() == 1 }, waitFor, checkEvery)
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	for _, e := range others {
		require.Empty(t, e.Started())
	}
	require.Eventually(t, func() bool { return copies() == 0 }, waitFor, checkEvery)
}

// A run with a copy moves off a leaving engine by that copy.
func TestLeavingEngineIsLeftByTheCopyThatWasKept(t *testing.T) {
	f, h, all := engineFleet(t, 2)
	const events = 800
	pending := async(draft(t.Context(), h, "r-1", events))
	source, others := busyOne(t, all)
	require.Eventually(t, func() bool { return others[0].HeldCopies() == 1 }, waitFor, checkEvery)
	f.register(source.ID, engines, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Equal(t, []string{"r-1"}, others[0].Resumed())
	require.Eventually(t, func() bool { return source.HeldCopies() == 0 }, time.Second, checkEvery)
}

// Only the connection to the engine breaks. The engine goes on with the run, as
// some do: it must be stopped there before it goes on elsewhere.
func TestRunIsStoppedWhereItsConnectionBroke(t *testing.T) {
	_, h, all := engineFleet(t, 2)
	const events = 800
	all[0].ContinueWithoutCaller()
	all[1].ContinueWithoutCaller()
	pending := async(draft(t.Context(), h, "r-1", events))
	source, others := busyOne(t, all)
	require.Eventually(t, func() bool { return others[0].HeldCopies() == 1 }, waitFor, checkEvery)
	source.CloseStreams()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	before, after := source.Spans()[0], others[0].Spans()[0]
	require.Less(t, before.To.Sub(after.From), 400*time.Millisecond, "both engines worked on it")
}

// An engine falls silent with its connections open. Its run goes on at the copy,
// long before the caller gives up.
func TestRunOfASilentEngineGoesOnAtItsCopy(t *testing.T) {
	_, h, all := engineFleet(t, 2)
	const events = 800
	pending := async(draft(t.Context(), h, "r-1", events))
	source, others := busyOne(t, all)
	require.Eventually(t, func() bool { return others[0].HeldCopies() == 1 }, waitFor, checkEvery)
	source.Freeze()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Equal(t, []string{"r-1"}, others[0].Resumed())
}

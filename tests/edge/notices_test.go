package edge_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

const (
	// onTheWay is how long after a target's rejection requests that were already sent may
	// still reach it.
	onTheWay = 500 * time.Millisecond
	// maxRequestsInPause is how many requests may reach a target from one host in a pause.
	maxRequestsInPause = 2
	// keysOutliveOutage keeps a host that is cut from the store serving keys.
	keysOutliveOutage = time.Minute
)

// cutFromStore interrupts the host's connection to the store. The fleets of these tests have
// no other hosts, so that the host hears of its targets only by their answers.
func cutFromStore(t *testing.T, h *host) {
	h.store.setPartitioned(true)
	t.Cleanup(func() { h.store.setPartitioned(false) })
}

// succeedSlowly keeps a request in flight long enough for concurrent requests to prefer
// another target.
func succeedSlowly(w http.ResponseWriter, r *http.Request) {
	time.Sleep(30 * time.Millisecond)
	standin.Succeed(w, r)
}

// sendConcurrently sends n requests of each route at the same time and returns the answers.
func sendConcurrently(t *testing.T, h *host, id string, n int, routes ...string) []answer {
	var answers []<-chan answer
	for i := range n {
		for _, route := range routes {
			answers = append(answers, sendAsync(h.request(t.Context(), http.MethodGet, route, fmt.Sprintf("%s-%s-%d", id, route, i), nil)))
		}
	}
	var out []answer
	for _, a := range answers {
		out = append(out, <-a)
	}
	return out
}

// A leaving target says so only in its answers: the store's entry stays ready, and the host is
// cut from the store. Once the host has passed on such an answer, the target gets nothing more.
func TestNoRequestAfterAnswerOfLeavingTarget(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func(http.ResponseWriter, *http.Request){
		"success": standin.Succeed, "error": standin.Fail, "rejection": standin.Reject,
	} {
		t.Run(name, func(t *testing.T) {
			f, target, other := newFleet(t), (*standin.PlainTarget)(nil), (*standin.PlainTarget)(nil)
			f.revokeWithin = keysOutliveOutage
			f.configure()
			target, other = f.startPlainTarget("d-1"), f.startPlainTarget("d-2")
			h := f.startHost()
			require.Eventually(t, func() bool {
				send(h.request(t.Context(), http.MethodGet, "check", "warm", nil))
				return len(target.Requests()) > 0
			}, waitTimeout, checkInterval)
			cutFromStore(t, h)
			target.SetHandler(answer)
			target.Leave()
			before := len(target.Requests())
			n := 0
			require.Eventually(t, func() bool {
				n++
				send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("l-%d", n), nil))
				return len(target.Requests()) > before
			}, waitTimeout, checkInterval)
			reached := len(target.Requests())
			other.SetHandler(succeedSlowly)
			for i := range 5 {
				for _, a := range sendConcurrently(t, h, fmt.Sprintf("r-%d", i), 3, "check", "hold") {
					require.NoError(t, a.err)
					require.Equal(t, http.StatusOK, a.status)
				}
			}
			require.Equal(t, reached, len(target.Requests()), "a leaving target got a request")
		})
	}
}

// The list goes on calling the target ready, with entries that are newer than its answer.
func TestReadyEntryDoesNotBringLeavingTargetBack(t *testing.T) {
	t.Parallel()
	f, h, targets := startPlainFleet(t, 1)
	target := targets[0]
	target.Leave()
	require.Equal(t, http.StatusOK, send(h.request(t.Context(), http.MethodGet, "check", "first", nil)).status)
	for _, state := range []string{"ready", "draining", "ready"} {
		f.register(target.ID, plainService, target.Address(), state)
		require.Eventually(t, func() bool { return logContains(h, `"leaving":`+strconv.FormatBool(state == "draining")) }, waitTimeout, checkInterval)
	}
	f.startPlainTarget("d-2")
	require.Eventually(t, func() bool { return logContains(h, `"target":"d-2"`) }, waitTimeout, checkInterval)
	for i := range 10 {
		require.Equal(t, http.StatusOK, send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("r-%d", i), nil)).status)
	}
	require.Len(t, target.Requests(), 1, "a leaving target got a request")
}

// The target starts again under the id that it had, after it left and asked for a pause that
// no one would wait for.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	t.Parallel()
	f, h, targets := startPlainFleet(t, 1)
	first := targets[0]
	first.Leave()
	first.Pause(1000 * time.Hour)
	require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodGet, "check", "r-1", nil)).status)
	second := f.startPlainTarget(first.ID)
	entry := standin.TargetEntry(plainService, second.Address(), "ready", 6)
	restarted := bytes.Replace(entry, []byte(`"born":17`), []byte(`"born":18`), 1)
	require.NotEqual(t, entry, restarted)
	_, err := f.store.Put(t.Context(), platform.TargetPrefix+first.ID, restarted, ports.AnyRevision, 0)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return send(h.request(t.Context(), http.MethodGet, "check", "r-2", nil)).status == http.StatusOK
	}, waitTimeout, checkInterval)
	require.Len(t, first.Requests(), 1)
}

// The host that got the answer tells the others, who then place elsewhere.
func TestPeersHearOfLeavingTarget(t *testing.T) {
	t.Parallel()
	f, told, targets := startPlainFleet(t, 2)
	other := f.startHost()
	targets[0].Leave()
	require.Eventually(t, func() bool {
		sendConcurrently(t, told, "warm", 2, "check")
		return logContains(told, `"source":"answer"`)
	}, waitTimeout, checkInterval)
	require.Eventually(t, func() bool { return logContains(other, `"source":"peer host-0"`) }, waitTimeout, checkInterval)
	reached := len(targets[0].Requests())
	for _, a := range sendConcurrently(t, other, "r", 6, "check") {
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Equal(t, reached, len(targets[0].Requests()))
}

// The engine's load report is the first answer that bears the header. The run in progress
// moves, and later runs start elsewhere.
func TestRunMovesOffEngineThatSaysItLeaves(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.revokeWithin = keysOutliveOutage
	f.configure()
	set := standin.NewEngines()
	engines := []*standin.Engine{f.startEngine(set, "e-1"), f.startEngine(set, "e-2"), f.startEngine(set, "e-3")}
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
	source, others := waitForBusyEngine(t, engines)
	cutFromStore(t, h)
	source.Leave()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	require.Equal(t, 1, len(others[0].Resumed())+len(others[1].Resumed()), "the run did not move")
	reached := len(source.Requests())
	for i := range 6 {
		id := fmt.Sprintf("n-%d", i)
		require.Equal(t, standin.StreamText(id, shortGeneration), send(generationRequest(t.Context(), h, id, shortGeneration)).body)
	}
	require.Equal(t, reached, len(source.Requests()), "a leaving engine got a request")
}

// requestsInPause counts the requests that reached a target between onTheWay after its first
// rejection and the end of the pause. Requests before since don't count.
func requestsInPause(requests []standin.ReceivedRequest, since, end time.Time) int {
	var rejectedAt time.Time
	n := 0
	for _, r := range requests {
		switch {
		case r.ReceivedAt.Before(since):
		case rejectedAt.IsZero():
			rejectedAt = r.ReceivedAt
		case r.ReceivedAt.After(rejectedAt.Add(onTheWay)) && r.ReceivedAt.Before(end):
			n++
		}
	}
	return n
}

// A target that rejects with Retry-After gets nothing until then, from plain calls, retries and
// hedges together, and is used again afterwards.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	t.Parallel()
	_, h, targets := startPlainFleet(t, 2)
	target := targets[0]
	targets[1].SetHandler(succeedSlowly)
	const pause = 2 * time.Second
	pausedAt := time.Now()
	target.Pause(pause)
	end := pausedAt.Add(pause)
	for i := 0; time.Now().Before(end); i++ {
		for _, a := range sendConcurrently(t, h, fmt.Sprintf("r-%d", i), 4, "check") {
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status)
		}
	}
	require.NotEmpty(t, target.Requests(), "the target must have rejected a request")
	require.LessOrEqual(t, requestsInPause(target.Requests(), pausedAt, end), maxRequestsInPause)
	served := len(target.Requests())
	require.Eventually(t, func() bool {
		sendConcurrently(t, h, "after", 4, "check")
		return len(target.Requests()) > served
	}, waitTimeout, checkInterval, "the target must be used again")
}

func TestPausedEngineGetsNoRuns(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 2)
	const pause = 2 * time.Second
	pausedAt := time.Now()
	engines[0].Pause(pause)
	end := pausedAt.Add(pause)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("r-%d", i)
		a := send(resumableRequest(t.Context(), h, id, shortGeneration, 0))
		require.NoError(t, a.err)
		require.Equal(t, standin.StreamText(id, shortGeneration), a.body)
	}
	require.NotEmpty(t, engines[0].Requests(), "the engine must have rejected a request")
	require.LessOrEqual(t, requestsInPause(engines[0].Requests(), pausedAt, end), maxRequestsInPause)
}

// While all targets of a service want nothing, requests are rejected at once, with the time
// left as the base of Retry-After.
func TestRequestIsRejectedAtOnceWhileAllTargetsPause(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	set := standin.NewEngines()
	plain, engine := f.startPlainTarget("d-1"), f.startEngine(set, "e-1")
	h := f.startHost()
	const pause = 3 * time.Second
	end := time.Now().Add(pause)
	plain.Pause(pause)
	engine.Pause(pause)
	build := map[string]func(id string) *http.Request{
		"plain":  func(id string) *http.Request { return h.request(t.Context(), http.MethodGet, "check", id, nil) },
		"stream": func(id string) *http.Request { return generationRequest(t.Context(), h, id, shortGeneration) },
	}
	for kind, request := range build {
		require.Equal(t, http.StatusServiceUnavailable, send(request(kind+"-first")).status)
	}
	distinct := make(map[string]bool)
	for i := range 8 {
		for kind, request := range build {
			sentAt := time.Now()
			a := send(request(fmt.Sprintf("%s-%d", kind, i)))
			require.NoError(t, a.err)
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.Equal(t, "targets_paused\n", a.body)
			require.Less(t, time.Since(sentAt), 400*time.Millisecond, "%s: must be rejected at once", kind)
			seconds, err := strconv.ParseFloat(a.header.Get(headers.RetryAfter), 64)
			require.NoError(t, err)
			require.Greater(t, seconds, time.Until(end).Seconds()-0.05, "%s: the caller would return during the pause", kind)
			distinct[a.header.Get(headers.RetryAfter)] = true
		}
	}
	require.Greater(t, len(distinct), 4, "callers would return in one instant")
	require.Len(t, plain.Requests(), 1)
	require.Len(t, engine.Requests(), 1)
}

// The timeline of the request that got the answer names the notice.
func TestRequestLogNamesTargetNotices(t *testing.T) {
	t.Parallel()
	_, h, targets := startPlainFleet(t, 1)
	targets[0].Leave()
	targets[0].Pause(time.Minute)
	require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodGet, "check", "r-1", nil)).status)
	text := requestTimeline(t, h, "r-1")
	require.Contains(t, text, "targets: target stated that it leaves")
	require.Contains(t, text, "targets: target wants a pause")
	require.Contains(t, text, "retry_after_ms=")
	require.Contains(t, text, "until=")
}

// Runs that wait for room when the last engine asks for a pause don't wait any longer.
func TestWaitingRunsAreRejectedWhenAllEnginesPause(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	const slots, waiting = 24, 4
	var running, queued []<-chan answer
	for i := range slots {
		running = append(running, sendAsync(generationRequest(t.Context(), h, fmt.Sprintf("r-%d", i), longGeneration)))
	}
	require.Eventually(t, func() bool { return len(engines[0].Started()) == slots }, waitTimeout, checkInterval)
	engines[0].Pause(10 * time.Second)
	for i := range waiting {
		queued = append(queued, sendAsync(generationRequest(t.Context(), h, fmt.Sprintf("w-%d", i), longGeneration)))
	}
	for _, a := range running {
		require.NoError(t, (<-a).err, "a pause doesn't end runs in progress")
	}
	var firstRejected time.Time
	for _, a := range queued {
		got := <-a
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "targets_paused\n", got.body)
		if firstRejected.IsZero() {
			firstRejected = time.Now()
		}
	}
	require.Less(t, time.Since(firstRejected), 300*time.Millisecond, "the others were not rejected at once")
	reached := make(map[string]bool)
	var first time.Time
	for _, r := range engines[0].Requests()[slots:] {
		if first.IsZero() {
			first = r.ReceivedAt
		}
		require.False(t, reached[r.ID()], "%s reached the engine again", r.ID())
		reached[r.ID()] = true
		require.Less(t, r.ReceivedAt.Sub(first), onTheWay, "%s was sent after a rejection", r.ID())
	}
	require.Less(t, len(reached), waiting, "all runs were sent, although the first was rejected")
}

// A target that still wants nothing when its pause ends gets one request, not all that wait
// for it, before the host has read its next rejection.
func TestOneRequestTriesTargetAfterItsPause(t *testing.T) {
	t.Parallel()
	const (
		pause       = time.Second
		answerTakes = 30 * time.Millisecond
		callers     = 16
	)
	_, h, targets := startPlainFleet(t, 2)
	target := targets[0]
	targets[1].SetHandler(succeedSlowly)
	target.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(answerTakes)
		w.Header().Set(headers.NotExecuted, "1")
		w.Header().Set(headers.RetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	end := time.Now().Add(6 * pause)
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				a := send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("r-%d-%d", caller, i), nil))
				assert.NoError(t, a.err)
				assert.Equal(t, http.StatusOK, a.status)
			}
		})
	}
	wait.Wait()
	var crowds []int
	var lastReceived time.Time
	for _, r := range target.Requests() {
		if len(crowds) == 0 || r.ReceivedAt.Sub(lastReceived) > pause/2 {
			crowds = append(crowds, 0)
		}
		crowds[len(crowds)-1]++
		lastReceived = r.ReceivedAt
	}
	t.Logf("requests at the end of each pause: %v", crowds)
	require.Greater(t, len(crowds), 3, "the target must be tried again after each pause")
	// On a busy machine an answer may come too late to hold the others back.
	slices.Sort(crowds[1:])
	require.Equal(t, 1, crowds[len(crowds)/2], "crowds reached the target at the end of its pauses: %v", crowds)
}

// Requests that find the only target of their service on trial wait for its answer. They were
// rejected otherwise, and their callers would come back only after half a second.
func TestRequestsWaitForTrialOfTheOnlyTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	plain, engine := f.startPlainTarget("d-1"), f.startEngine(standin.NewEngines(), "e-1")
	plain.SetHandler(succeedSlowly)
	h := f.startHost()
	const pause, callers = time.Second, 6 // the trial and five, for which the target has places
	plain.Pause(pause)
	engine.Pause(pause)
	build := map[string]func(id string) *http.Request{
		"plain":  func(id string) *http.Request { return h.request(t.Context(), http.MethodGet, "check", id, nil) },
		"stream": func(id string) *http.Request { return generationRequest(t.Context(), h, id, shortGeneration) },
	}
	for kind, request := range build {
		require.Equal(t, http.StatusServiceUnavailable, send(request(kind+"-first")).status)
	}
	time.Sleep(pause + pause/2) // the end is drawn within a quarter
	for kind, request := range build {
		var answers []<-chan answer
		for i := range callers {
			answers = append(answers, sendAsync(request(fmt.Sprintf("%s-%d", kind, i))))
		}
		for _, a := range answers {
			got := <-a
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, "%s: %s", kind, got.body)
		}
	}
	require.True(t, logContains(h, "request tries target after its pause"))
}

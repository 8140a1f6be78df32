package prove

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// targetSilence is the body of PUT /admin/silence of engines and services.
type targetSilence struct {
	For        time.Duration `json:"for_ns"`
	AfterBytes int           `json:"after_bytes"`
}

// moment is where in an answer a target falls silent: after that many bytes of it.
type moment struct {
	name       string
	afterBytes int
}

// beforeAnswer is before the head or, during a stream, between two events. Heads and token
// events are longer than 20 bytes; a head of a service's answer ends before byte 250.
var (
	beforeAnswer = moment{"before the head or an event", 0}
	insideAnswer = moment{"in the head or an event", 20}
)

// silenceLength returns a length of a second or so.
func silenceLength(r *rand.Rand) time.Duration {
	return time.Second + time.Duration(r.IntN(900))*time.Millisecond
}

// silence lets the targets fall silent, once each, at the next moment of their answers.
func (c *cluster) silence(t *testing.T, targets []*target, m moment, length time.Duration) {
	t.Helper()
	for _, target := range targets {
		callAdmin(t, http.MethodPut, "http://"+target.direct+"/admin/silence", targetSilence{For: length, AfterBytes: m.afterBytes})
	}
}

// TestSilentTargetsEndNoAnswer lets sound targets fall silent for a second or so, each time
// beside a change of the document. Every accepted request must get its whole answer.
func TestSilentTargetsEndNoAnswer(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{1, 2, 4} {
		for _, m := range []moment{beforeAnswer, insideAnswer, {"stalled, but answering", -1}} {
			name := fmt.Sprintf("streams, %d engines, %s", engines, m.name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if testing.Short() && engines != 2 {
					t.Skip("not in the short form")
				}
				runSilentStreams(t, name, engines, m)
			})
		}
	}
	t.Run("late requests", func(t *testing.T) {
		t.Parallel()
		if testing.Short() {
			t.Skip("not in the short form")
		}
		runSilentLate(t)
	})
	for _, services := range []int{1, 2} {
		name := fmt.Sprintf("plain calls, %d services", services)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() && services != 1 {
				t.Skip("not in the short form")
			}
			runSilentCalls(t, name, services)
		})
	}
}

func runSilentStreams(t *testing.T, name string, engines int, m moment) {
	defer acquireSlot()()
	summary := ""
	recordResult(t, "silence ends no answer", name, &summary)
	c := startCluster(t, clusterSpec{hosts: 2, engines: engines})
	r := randomFor(t)
	length := silenceLength(r)
	begin := func() {
		if m.afterBytes >= 0 {
			c.silence(t, c.engines, m, length)
			return
		}
		for _, e := range c.engines {
			callAdmin(t, http.MethodPut, "http://"+e.direct+"/admin/stall", map[string]time.Duration{"for_ns": length})
		}
	}
	// The first silence meets the heads of all streams, the second one their events.
	begin()
	spec := trafficSpec{streams: 8, tokens: 120 + r.IntN(80)}
	spec.trigger = int64(spec.streams * (10 + r.IntN(spec.tokens/2)))
	tr := startTraffic(c, spec)
	c.applyDocument(documentWith("v2"))
	tr.awaitReached()
	begin()
	c.applyDocument(documentWith("v1"))
	tr.finish()
	tokens := 0
	for i, got := range tr.streams {
		require.NoErrorf(t, tr.errs[i], "stream %d after %d tokens", i, len(got.chunks))
		require.Truef(t, got.done, "stream %d has not ended", i)
		version := "v1"
		if got.chunks[0].Choices[0].Text != tokenText(got.chunks[0].Generation, "v1", "", 0) {
			version = "v2" // accepted after the first change
		}
		checkChunks(t, i, got, version, "")
		require.Lenf(t, got.chunks, spec.tokens, "stream %d", i)
		tokens += len(got.chunks)
	}
	summary = fmt.Sprintf("silent %s, %d streams, %d tokens, longest pause %s",
		length, spec.streams, tokens, tr.maxGap().Round(time.Millisecond))
}

func runSilentLate(t *testing.T) {
	defer acquireSlot()()
	summary := ""
	recordResult(t, "silence ends no answer", "late requests", &summary)
	c := startCluster(t, clusterSpec{hosts: 2, engines: 2})
	length := silenceLength(randomFor(t))
	const requests = 10
	tokens := 0
	c.silence(t, c.engines, insideAnswer, length)
	for i := range requests {
		c.sendLateRequest(t, i)
	}
	c.applyDocument(documentWith("v2"))
	<-time.After(length) // the first silence is over, and the answers are being made
	c.silence(t, c.engines, beforeAnswer, length)
	for i := range requests {
		tokens += c.fetchLateAnswer(t, i)
	}
	summary = fmt.Sprintf("silent %s twice, %d drafts, %d tokens", length, requests, tokens)
}

func runSilentCalls(t *testing.T, name string, services int) {
	defer acquireSlot()()
	summary := ""
	recordResult(t, "silence ends no answer", name, &summary)
	c := startCluster(t, clusterSpec{hosts: 2, engines: 1, services: services})
	r := randomFor(t)
	for range 25 { // so that lookups are hedged
		answer, err := callPlain(t, c.hosts[0].callerURL, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.status)
	}
	moments := []moment{beforeAnswer, insideAnswer, {"in the body", 130}}
	calls := 0
	for i, m := range moments {
		length := silenceLength(r)
		c.silence(t, c.services, m, length)
		c.applyDocument(documentWith([]string{"v1", "v2"}[i%2]))
		var group sync.WaitGroup
		for k := range 6 {
			group.Go(func() {
				key := fmt.Sprintf("silent-%d-%d", i, k)
				hold, err := c.hold(t, k%2, key)
				checkWholeAnswer(t, m.name, hold, err)
				lookup, err := callPlain(t, c.hosts[k%2].callerURL, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
				checkWholeAnswer(t, m.name, lookup, err)
			})
		}
		group.Wait()
		calls += 12
	}
	ran := c.executions()
	require.Len(t, ran, 6*len(moments))
	for key, n := range ran {
		require.Equalf(t, 1, n, "key %s", key)
	}
	summary = fmt.Sprintf("%d calls, each hold ran once", calls)
}

// checkWholeAnswer may be called by other goroutines than the test's.
func checkWholeAnswer(t *testing.T, name string, answer plainAnswer, err error) {
	t.Helper()
	switch {
	case err != nil:
		t.Errorf("%s: %v", name, err)
	case answer.status != http.StatusOK || !json.Valid([]byte(answer.body)):
		t.Errorf("%s: status %d after %s: %s", name, answer.status, answer.took, answer.body)
	}
}

// TestUnframedAnswers lets services answer with neither a length nor chunks, so that the
// answer ends with its connection. The proxies pass no resets on; package services tests
// answers that are reset.
func TestUnframedAnswers(t *testing.T) {
	t.Parallel()
	defer acquireSlot()()
	summary := ""
	recordResult(t, "silence ends no answer", "answers without a length or chunks", &summary)
	c := startCluster(t, clusterSpec{hosts: 2, engines: 1, services: 1})
	for _, h := range c.hosts { // a gateway learns of healthy targets after its agent
		harness.Await(t, readyTimeout, h.name+" serves calls", func() bool {
			answer, err := callPlain(t, h.callerURL, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
			return err == nil && answer.status == http.StatusOK
		})
	}
	callAdmin(t, http.MethodPut, "http://"+c.services[0].direct+"/admin/fault", map[string]int{"unframed_next": 2})
	hold, err := c.hold(t, 0, "unframed")
	checkWholeAnswer(t, "hold", hold, err)
	lookup, err := callPlain(t, c.hosts[1].callerURL, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
	checkWholeAnswer(t, "lookup", lookup, err)
	require.Equal(t, 1, c.executions()["unframed"])
	summary = "2 calls"
}

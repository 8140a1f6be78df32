package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// lateTimeout bounds the time from a fault until a late answer can be fetched.
const lateTimeout = 45 * time.Second

// lateFault is one fault against late delivery.
type lateFault struct {
	name      string
	short     bool
	unsettled bool // whether the requests are sent as soon as the hosts are ready
	inject    func(t *testing.T, c *cluster)
}

func lateFaults() []lateFault {
	return []lateFault{
		{name: "none", short: true, inject: func(*testing.T, *cluster) {}},
		{name: "hosts have just started", short: true, unsettled: true, inject: func(*testing.T, *cluster) {}},
		{name: "all hosts replaced while pending", short: true, inject: func(t *testing.T, c *cluster) {
			for _, h := range c.hosts {
				h.gateway.Kill()
				h.agent.Kill()
			}
			for _, h := range c.hosts {
				h.agent.Restart(t)
				h.gateway.Restart(t)
				c.awaitReady(h)
			}
		}},
		{name: "owner killed, others take over", inject: func(_ *testing.T, c *cluster) {
			c.hosts[0].gateway.Kill()
			c.hosts[0].agent.Kill()
		}},
		{name: "store down for a while", inject: func(_ *testing.T, c *cluster) {
			c.storeFault(memstore.Fault{Outage: true})
			<-time.After(3 * time.Second) // longer than the late requests run
			c.storeFault(memstore.Fault{})
		}},
		{name: "store restored from a copy without the answers", short: true, inject: func(_ *testing.T, c *cluster) {
			c.copyStore()
			<-time.After(time.Second) // some answers are stored meanwhile
			c.restoreStore()
		}},
		{name: "store answers lost", inject: func(_ *testing.T, c *cluster) { c.storeFault(memstore.Fault{LoseAnswers: 0.4}) }},
		{name: "all engines killed and replaced", inject: func(t *testing.T, c *cluster) {
			for _, e := range c.engines {
				e.process.Kill()
			}
			for _, e := range c.engines {
				e.process.Restart(t)
				c.awaitTarget(e)
				e.link.Reopen(t, e.process)
			}
		}},
	}
}

// TestLateAnswersReachTheirCallers injects a fault after late requests were accepted.
// Each caller must be able to fetch its own complete answer afterwards.
func TestLateAnswersReachTheirCallers(t *testing.T) {
	t.Parallel()
	for _, fault := range lateFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			runLateFault(t, fault)
		})
	}
}

func runLateFault(t *testing.T, fault lateFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer acquireSlot()()
	summary := ""
	recordResult(t, "whole answer to its caller", "late: "+fault.name, &summary)
	c := startCluster(t, clusterSpec{hosts: 3, engines: 2, unsettled: fault.unsettled})
	const requests = 10
	for i := range requests {
		c.sendLateRequest(t, i)
	}
	begin := time.Now()
	fault.inject(t, c)
	tokens := 0
	for i := range requests {
		tokens += c.fetchLateAnswer(t, i)
	}
	summary = fmt.Sprintf("%d drafts, %d tokens, all fetched after %s", requests, tokens, time.Since(begin).Round(10*time.Millisecond))
}

// A ready gateway rejected late requests for five seconds if no agent listed a gateway.
func TestGatewayWithoutItsAgentAcceptsLateRequests(t *testing.T) {
	t.Parallel()
	defer acquireSlot()()
	summary := ""
	recordResult(t, "whole answer to its caller", "late: gateway is ready before its agent", &summary)
	c := startCluster(t, clusterSpec{hosts: 2, engines: 2})
	first, second := c.hosts[0], c.hosts[1]
	for _, p := range []*harness.Process{first.gateway, second.gateway, second.agent} {
		p.Kill()
	}
	harness.Await(t, lateTimeout, "no gateway is listed", func() bool {
		status, ok := c.agentStatus(first)
		return ok && !slices.ContainsFunc(status.Members, func(m control.Member) bool { return m.GatewayAddr != "" && m.State == control.MemberAlive })
	})
	second.gateway.Restart(t)
	harness.Await(t, readyTimeout, "gateway ready", func() bool { return getOK(second.opsURL + "/readyz") })
	const request = 1 // sent to the second host
	c.sendLateRequest(t, request)
	second.agent.Restart(t)
	first.gateway.Restart(t)
	summary = fmt.Sprintf("1 draft, %d tokens", c.fetchLateAnswer(t, request))
}

// lateTokens returns the length of late request i's answer.
func lateTokens(i int) int { return 60 + 7*i }

// sendLateRequest sends a request for late delivery and requires that it is accepted.
// Both accounts use the same request ids.
func (c *cluster) sendLateRequest(t *testing.T, i int) {
	t.Helper()
	body, err := json.Marshal(completion.Request{Model: "briefing", Delivery: completion.DeliveryLate,
		Prompt: fmt.Sprintf("Draft %d #len=%d", i, lateTokens(i))})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, c.hosts[i%len(c.hosts)].callerURL+"/v1/completions", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+lateRequestKey(i))
	request.Header.Set("Idempotency-Key", lateRequestID(i))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusAccepted, response.StatusCode)
}

// lateRequestID returns a request id that two requests, one of each account, share.
func lateRequestID(i int) string { return fmt.Sprintf("draft-%d", i/2) }

// lateRequestKey returns the API key of the account that sends late request i.
func lateRequestKey(i int) string {
	if i%2 == 0 {
		return keyDesk
	}
	return keySkipper
}

// fetchLateAnswer asks one gateway after the other until the answer is available,
// checks that it is complete and returns its number of tokens.
func (c *cluster) fetchLateAnswer(t *testing.T, i int) int {
	t.Helper()
	var answer completion.Response
	attempt := 0
	harness.Await(t, lateTimeout, fmt.Sprintf("answer to late request %d", i), func() bool {
		attempt++
		response, ok := c.getLateAnswer(c.hosts[attempt%len(c.hosts)], i)
		answer = response
		return ok
	})
	var want strings.Builder
	for n := range lateTokens(i) {
		want.WriteString(tokenText(answer.Generation, answer.Version, "", n))
	}
	require.Equal(t, want.String(), answer.Choices[0].Text, "late request %d", i)
	return lateTokens(i)
}

func (c *cluster) getLateAnswer(h *host, i int) (completion.Response, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var answer completion.Response
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.callerURL+"/v1/completions/"+lateRequestID(i), nil)
	if err != nil {
		return answer, false
	}
	request.Header.Set("Authorization", "Bearer "+lateRequestKey(i))
	response, err := client.Do(request)
	if err != nil {
		return answer, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, false
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer) == nil
}

package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/tests/harness"
)

// lateLimit bounds the time until a late answer is ready after its fault.
const lateLimit = 45 * time.Second

// lateFault is one way to disturb late delivery.
type lateFault struct {
	name  string
	short bool
	bring func(t *testing.T, c *cluster)
}

func lateFaults() []lateFault {
	return []lateFault{
		{name: "none", short: true, bring: func(*testing.T, *cluster) {}},
		{name: "all hosts replaced while pending", short: true, bring: func(t *testing.T, c *cluster) {
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
		{name: "owner killed, others take over", bring: func(_ *testing.T, c *cluster) {
			c.hosts[0].gateway.Kill()
			c.hosts[0].agent.Kill()
		}},
		{name: "store down for a while", bring: func(_ *testing.T, c *cluster) {
			c.storeFault(memstore.Fault{Outage: true})
			<-time.After(3 * time.Second) // longer than the drafts run
			c.storeFault(memstore.Fault{})
		}},
		{name: "store answers lost", bring: func(_ *testing.T, c *cluster) { c.storeFault(memstore.Fault{LoseAnswers: 0.4}) }},
		{name: "all engines killed and replaced", bring: func(t *testing.T, c *cluster) {
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

func TestLateAnswersReachTheirCallers(t *testing.T) {
	t.Parallel()
	for _, fault := range lateFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			proveLate(t, fault)
		})
	}
}

func proveLate(t *testing.T, fault lateFault) {
	if testing.Short() && !fault.short {
		t.Skip("not in the short form")
	}
	defer slot()()
	figures := ""
	record(t, "whole answer to its caller", "late: "+fault.name, &figures)
	c := startCluster(t, clusterSize{hosts: 3, engines: 2})
	const drafts = 10
	for i := range drafts {
		c.acceptDraft(t, i)
	}
	begin := time.Now()
	fault.bring(t, c)
	tokens := 0
	for i := range drafts {
		tokens += c.fetchDraft(t, i)
	}
	figures = fmt.Sprintf("%d drafts, %d tokens, all fetched after %s", drafts, tokens, time.Since(begin).Round(10*time.Millisecond))
}

func draftTokens(i int) int { return 60 + 7*i }

// acceptDraft sends a draft for late delivery until it is accepted. Both
// accounts use the same request ids.
func (c *cluster) acceptDraft(t *testing.T, i int) {
	t.Helper()
	body, err := json.Marshal(completion.Request{Model: "briefing", Delivery: completion.DeliveryLate,
		Prompt: fmt.Sprintf("Draft %d #len=%d", i, draftTokens(i))})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, c.hosts[i%len(c.hosts)].url+"/v1/completions", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+draftKey(i))
	request.Header.Set("Idempotency-Key", draftID(i))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusAccepted, response.StatusCode)
}

// draftID gives two accounts the same request id.
func draftID(i int) string { return fmt.Sprintf("draft-%d", i/2) }

func draftKey(i int) string {
	if i%2 == 0 {
		return keyDesk
	}
	return keySkipper
}

// fetchDraft asks one gateway after the other until the answer is there, and
// checks that it is whole and the account's own.
func (c *cluster) fetchDraft(t *testing.T, i int) int {
	t.Helper()
	var answer completion.Response
	attempt := 0
	harness.Await(t, lateLimit, fmt.Sprintf("answer of draft %d", i), func() bool {
		attempt++
		response, ok := c.getDraft(c.hosts[attempt%len(c.hosts)], i)
		answer = response
		return ok
	})
	var want strings.Builder
	for n := range draftTokens(i) {
		want.WriteString(tokenText(answer.Generation, answer.Version, "", n))
	}
	require.Equal(t, want.String(), answer.Choices[0].Text, "draft %d", i)
	return draftTokens(i)
}

func (c *cluster) getDraft(h *host, i int) (completion.Response, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var answer completion.Response
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/v1/completions/"+draftID(i), nil)
	if err != nil {
		return answer, false
	}
	request.Header.Set("Authorization", "Bearer "+draftKey(i))
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

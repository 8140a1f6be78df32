package prove

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/rpcconn"
)

// hitchctl runs the operators' command line and returns its output and exit code.
func hitchctl(t testing.TB, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(programDir, "hitchctl"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		require.NoError(t, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// callAdmin calls an admin path of a stand-in and requires success.
func callAdmin(t testing.TB, method, url string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	require.Lessf(t, response.StatusCode, 300, "%s %s: %s", method, url, text)
}

// tryCallAdmin calls an admin path of a stand-in that another fault may have
// stopped.
func tryCallAdmin(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// publishTargets writes the platform's host list and marks the targets named in
// leaving as leaving.
func (c *cluster) publishTargets(leaving map[string]bool) {
	c.t.Helper()
	var list []platform.Target
	for i, e := range c.engines {
		list = append(list, platform.Target{Name: e.name, Address: e.link.Address(), Domain: domains[i%len(domains)],
			Region: "sk-west", Kind: platform.TargetEngine, Leaving: leaving[e.name]})
	}
	for i, s := range c.services {
		list = append(list, platform.Target{Name: s.name, Address: s.link.Address(), Domain: domains[i%len(domains)],
			Region: "sk-west", Kind: platform.TargetService, Service: "booking", Leaving: leaving[s.name]})
	}
	callAdmin(c.t, http.MethodPut, "http://"+c.storeAddress+"/admin/targets", list)
}

// storeFault sets the fault of the store stand-in. The zero value ends it.
func (c *cluster) storeFault(fault memstore.Fault) {
	c.t.Helper()
	callAdmin(c.t, http.MethodPut, "http://"+c.storeAddress+"/admin/fault", fault)
}

// copyStore makes the store stand-in keep a copy of its state.
func (c *cluster) copyStore() {
	c.t.Helper()
	callAdmin(c.t, http.MethodPost, "http://"+c.storeAddress+"/admin/copy", struct{}{})
}

// restoreStore takes the store away for a moment and brings it back from the copy: what was
// written since is lost, leases too.
func (c *cluster) restoreStore() {
	c.t.Helper()
	c.storeFault(memstore.Fault{Outage: true})
	<-time.After(300 * time.Millisecond)
	callAdmin(c.t, http.MethodPost, "http://"+c.storeAddress+"/admin/restore", struct{}{})
	c.storeFault(memstore.Fault{})
}

// reclaim announces to an engine that it will be stopped after the notice.
func (c *cluster) reclaim(e *target, notice time.Duration) {
	c.t.Helper()
	callAdmin(c.t, http.MethodPost, "http://"+e.direct+"/admin/reclaim", map[string]int64{"notice_ns": int64(notice)})
}

// setMemory changes the memory of an engine, in blocks.
func (c *cluster) setMemory(e *target, blocks int) {
	c.t.Helper()
	callAdmin(c.t, http.MethodPut, "http://"+e.direct+"/admin/memory", map[string]int{"blocks": blocks})
}

// busiestEngine returns the engine that currently runs the most generations.
func (c *cluster) busiestEngine() *target {
	c.t.Helper()
	best, most := c.engines[0], -1
	for _, e := range c.engines {
		if n := len(c.openGenerations(e)); n > most {
			best, most = e, n
		}
	}
	return best
}

// journalLine is one line of an engine's or a service's journal.
type journalLine struct {
	Kind       string    `json:"kind"` // only in an engine's journal
	Generation string    `json:"generation"`
	RequestID  string    `json:"request_id"`
	Key        string    `json:"key"` // Idempotency-Key; only in a service's journal
	Path       string    `json:"path"`
	Time       time.Time `json:"time"`
	Number     int       `json:"number"` // order of arrival at the target

	Order    *engine.Order `json:"order"`   // only in the line of an order
	Rejected bool          `json:"refused"` // only in the line of an order
}

// readJournal returns the lines that a target has written so far. The target need not be
// running.
func readJournal(t testing.TB, target *target) []journalLine {
	t.Helper()
	file, err := os.Open(target.journal)
	if os.IsNotExist(err) {
		return nil
	}
	require.NoError(t, err)
	defer file.Close()
	var lines []journalLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line journalLine
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line))
		lines = append(lines, line)
	}
	return lines
}

// probeKeyPrefix begins the keys of calls that only check that a cluster works.
const probeKeyPrefix = "probe-"

// executions counts how often each idempotency key ran on any service. Lookups
// have no key.
func (c *cluster) executions() map[string]int {
	c.t.Helper()
	counts := make(map[string]int)
	for _, s := range c.services {
		for _, line := range readJournal(c.t, s) {
			if line.Key != "" && !strings.HasPrefix(line.Key, probeKeyPrefix) {
				counts[line.Key]++
			}
		}
	}
	return counts
}

// openGenerations returns the generations that an engine has started but not ended.
func (c *cluster) openGenerations(e *target) []string {
	open := map[string]bool{}
	for _, line := range readJournal(c.t, e) {
		switch line.Kind {
		case "start":
			open[line.Generation] = true
		case "end":
			delete(open, line.Generation)
		}
	}
	ids := make([]string, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	return ids
}

// generationsStartedAfter counts the generations that an engine started after a time.
func generationsStartedAfter(t testing.TB, e *target, at time.Time) int {
	n := 0
	for _, line := range readJournal(t, e) {
		if line.Kind == "start" && line.Time.After(at) {
			n++
		}
	}
	return n
}

// tokenText returns the text that the stand-in engine generates for a token.
func tokenText(generation, version, adapter string, offset int) string {
	id := enginemodel.Identity{Generation: generation, Model: "briefing", Version: version, Adapter: adapter}
	return enginemodel.TokenText(id, offset)
}

// agentStatus asks a host's agent for its view of the fleet. It returns false if the
// agent does not answer.
func (c *cluster) agentStatus(h *host) (control.StatusReply, bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	pool := rpcconn.NewPool(rpcconn.TCP)
	defer pool.Close()
	var reply control.StatusReply
	err := pool.Call(ctx, h.localAgent, "Control.Status", control.Empty{}, &reply)
	return reply, err == nil
}

// targetsHealthy reports whether every host considers every target healthy.
func (c *cluster) targetsHealthy() bool {
	for _, h := range c.hosts {
		reply, ok := c.agentStatus(h)
		if !ok {
			return false
		}
		healthy := 0
		for _, t := range reply.Targets {
			if t.Healthy {
				healthy++
			}
		}
		if healthy < len(c.engines)+len(c.services) {
			return false
		}
	}
	return true
}

// membersKnown reports whether every host considers every host alive and knows which
// document revision its gateway serves.
func (c *cluster) membersKnown() bool {
	for _, h := range c.hosts {
		reply, ok := c.agentStatus(h)
		if !ok {
			return false
		}
		alive := 0
		for _, m := range reply.Members {
			if m.State == control.MemberAlive && m.GatewayRevision > 0 {
				alive++
			}
		}
		if alive < len(c.hosts) {
			return false
		}
	}
	return true
}

// revisionsInForce returns the lower of the revisions that each host's gateway
// and agent report, as the first host's agent knows them.
func (c *cluster) revisionsInForce() map[string]int64 {
	c.t.Helper()
	revisions := make(map[string]int64)
	reply, ok := c.agentStatus(c.hosts[0])
	if !ok {
		return revisions
	}
	for _, m := range reply.Members {
		revisions[m.Host] = min(m.DocumentRevision, m.GatewayRevision)
	}
	return revisions
}

// getJSON reads a JSON document of an admin API.
func getJSON(t testing.TB, url string, into any) {
	t.Helper()
	response, err := client.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, json.NewDecoder(response.Body).Decode(into))
}

package edge_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

var onceSeed = flag.Uint64("once.seed", 1, "seed of TestNonIdempotentRequestRunsTwice")

const (
	onceHosts, onceTargets, onceCallers = 5, 6, 5
	onceDuration                        = 10 * time.Second
	onceTimeout                         = 1200 * time.Millisecond // of requests
	onceGrace                           = 3 * time.Second
)

// edgeProcess is one edge process of its own.
type edgeProcess struct {
	*harness.Process
	caller, readiness string
	mu                sync.Mutex // held while a fault of the process lasts
}

// onceFleet is a fleet of edge processes whose targets are fickle.
type onceFleet struct {
	t       *testing.T
	hosts   []*edgeProcess
	proxies []*harness.Proxy // of the targets
	runs    *runLog

	mu       sync.Mutex
	outcomes map[string]int // guarded by mu; by status
	answers  map[string]int // guarded by mu; statuses of requests by ID; 0 for none
}

func startOnceFleet(t *testing.T, seed uint64) *onceFleet {
	f := &onceFleet{t: t, runs: &runLog{runs: make(map[string][]string)}, outcomes: make(map[string]int), answers: make(map[string]int)}
	store := standin.NewStore(memstore.Options{Seed: seed})
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	put := func(key string, value []byte) {
		_, err := store.Put(t.Context(), key, value, ports.AnyRevision, 0)
		require.NoError(t, err)
	}
	config := standin.Configuration{Version: 1, Timeout: onceTimeout, PlainServices: []string{plainService}, Account: account, Keys: []string{apiKey}, Routes: []standin.Route{
		{Name: "hold", Kind: standin.NonIdempotent, Service: plainService, Objective: 50 * time.Millisecond, Attempts: 3},
		{Name: "draft", Kind: standin.Streaming, Service: plainService, Objective: 100 * time.Millisecond, Attempts: 3},
	}}
	raw, err := config.Encode()
	require.NoError(t, err)
	put(platform.ConfigurationKey, raw)
	for n := range onceTargets {
		id := fmt.Sprintf("d-%d", n)
		proxy := harness.NewProxy(t, startFickleTarget(t, id, f.runs, seed, n).listener.Addr().String())
		f.proxies = append(f.proxies, proxy)
		put(platform.TargetPrefix+id, standin.TargetEntry(plainService, proxy.Address(), "ready", 24))
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "edge")
	out, err := exec.Command("go", "build", "-o", program, "corianderhitch/cmd/edge").CombinedOutput()
	require.NoError(t, err, string(out))
	for n := range onceHosts {
		f.hosts = append(f.hosts, f.startProcess(program, dir, server.Listener.Addr().String(), n))
	}
	for _, h := range f.hosts {
		harness.Await(t, waitTimeout, h.Name+" ready", (&host{readinessAddress: h.readiness}).isReady)
	}
	return f
}

func (f *onceFleet) startProcess(program, dir, store string, n int) *edgeProcess {
	name := fmt.Sprintf("host-%d", n)
	h := &edgeProcess{caller: harness.FreeAddress(f.t), readiness: harness.FreeAddress(f.t)}
	port := harness.FreePorts(f.t, 2)
	settings, err := json.Marshal(map[string]any{
		"nodeName": name, "ip": hostIP(n), "zone": "a", "listen": map[string]string{"front": h.caller, "ready": h.readiness},
		"internalPorts": []int{port, port + 1}, "heartbeatMs": 1200, "limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "linkMbps": 1000},
		"bounds":   map[string]any{"graceS": onceGrace.Seconds(), "retryBudgetRatio": 50, "budgetWindowS": 10, "retrySlack": 1000},
		"platform": map[string]any{"address": store},
	})
	require.NoError(f.t, err)
	file := filepath.Join(dir, name+".json")
	require.NoError(f.t, os.WriteFile(file, settings, 0o600))
	h.Process = &harness.Process{Name: name, Path: program, Args: []string{"--node-file", file}, LogPath: filepath.Join(dir, name+".log")}
	h.Start(f.t)
	f.t.Cleanup(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.Kill()
	})
	return h
}

// call sends requests to one host until ctx ends. Each has an ID and a content of its own.
func (f *onceFleet) call(ctx context.Context, h *edgeProcess, caller int) {
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}, Timeout: onceTimeout + time.Second}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", h.Name, caller, n)
		call, route := standin.Call{ID: id, APIKey: apiKey, Timeout: onceTimeout}, "hold"
		if n%3 == 0 {
			call.Events, route = 2, "draft"
		}
		// The body can't be rewound, so that the caller's transport doesn't repeat the request.
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+h.caller+"/"+route+"/x", io.MultiReader(strings.NewReader("content of "+id)))
		if err != nil {
			panic(err)
		}
		r.Host = "desk.example"
		call.SetHeaders(r)
		if call.Events > 0 {
			r.Header.Set(headers.PromptPrefix, id+":1000") // no part is shared with prompts whose engines break off
		}
		status := 0
		if response, err := c.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			status = response.StatusCode
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		f.mu.Lock()
		f.answers[id] = status
		f.outcomes[fmt.Sprint(route, " ", status)]++
		f.mu.Unlock()
	}
}

// disturb injects faults until ctx ends.
func (f *onceFleet) disturb(ctx context.Context, random *rand.Rand) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for ctx.Err() == nil {
		h, proxy := f.hosts[random.IntN(len(f.hosts))], f.proxies[random.IntN(len(f.proxies))]
		lasts := time.Duration(200+random.IntN(1200)) * time.Millisecond
		switch random.IntN(8) {
		case 0:
			proxy.ResetConnections()
		case 1: // some hosts lose their way to all targets
			open := random.IntN(2) == 0
			for n := range f.hosts {
				if random.IntN(2) == 0 {
					for _, p := range f.proxies {
						p.CutFrom(hostIP(n), open)
					}
				}
			}
		case 2:
			for _, p := range f.proxies {
				p.EndCuts()
			}
		case 3:
			faults.Go(func() {
				f.inMode(proxy, []harness.Mode{harness.Stall, harness.StallDown, harness.CloseNew, harness.CloseOnData}[random.IntN(4)], lasts)
			})
		case 4:
			faults.Go(func() { h.interrupt(f.t, func() { h.Freeze(); time.Sleep(lasts); h.Thaw() }) })
		case 5:
			faults.Go(func() { h.interrupt(f.t, h.Kill) })
		case 6:
			faults.Go(func() { h.interrupt(f.t, h.terminate) })
		case 7:
			proxy.CloseAfterBytes(0, 100+random.IntN(2000))
			time.AfterFunc(lasts, func() { proxy.CloseAfterBytes(0, 0) })
		}
		time.Sleep(time.Duration(50+random.IntN(150)) * time.Millisecond)
	}
}

func (f *onceFleet) inMode(p *harness.Proxy, mode harness.Mode, lasts time.Duration) {
	p.SetMode(mode)
	time.Sleep(lasts)
	p.SetMode(harness.Pass)
}

// interrupt plays a fault of the process unless one lasts, and starts the process again if it has ended.
func (h *edgeProcess) interrupt(t *testing.T, fault func()) {
	if !h.mu.TryLock() {
		return
	}
	defer h.mu.Unlock()
	fault()
	select {
	case <-h.Ended():
		h.Start(t)
	default:
	}
}

// terminate asks the process to stop and kills it after its grace.
func (h *edgeProcess) terminate() {
	h.Signal(syscall.SIGTERM)
	select {
	case <-h.Ended():
	case <-time.After(onceGrace):
		h.Kill()
	}
}

// TWICE and REFUSED: requests are sent by way of other hosts, rejected, cut and left without an answer,
// while hosts and their helpers are stopped, frozen and killed.
func TestNonIdempotentRequestRunsTwice(t *testing.T) {
	f := startOnceFleet(t, *onceSeed)
	ctx, cancel := context.WithTimeout(t.Context(), onceDuration)
	defer cancel()
	var callers sync.WaitGroup
	for _, h := range f.hosts {
		for n := range onceCallers {
			callers.Go(func() { f.call(ctx, h, n) })
		}
	}
	f.disturb(ctx, rand.New(rand.NewPCG(*onceSeed, 0)))
	callers.Wait()
	for _, id := range f.runs.sorted() {
		if at := f.runs.of(id); len(at) > 1 {
			assert.Fail(t, "ran twice", "%s at %v; status %d\n%s", id, at, f.answers[id], f.logOf(id))
		} else if s := f.answers[id]; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest {
			assert.Fail(t, "refused although it ran", "%s at %v; status %d\n%s", id, at, s, f.logOf(id))
		}
	}
	byHelpers, again := f.logged("forward: no answer to a request of another host"), f.logged("sent again")
	t.Logf("seed %d: %d requests ran, %d rejections of targets, answers %v, sends of helpers without an answer %d, sent again %d", *onceSeed, len(f.runs.runs), f.runs.rejected, f.outcomes, byHelpers, again)
	require.Greater(t, len(f.runs.runs), 500)
	require.Positive(t, byHelpers, "no helper lost an answer")
	require.Positive(t, again)
}

// logged returns how many lines of all logs contain text.
func (f *onceFleet) logged(text string) (lines int) {
	for _, h := range f.hosts {
		log, err := os.ReadFile(h.LogPath)
		require.NoError(f.t, err)
		lines += strings.Count(string(log), text)
	}
	return lines
}

// logOf returns the lines of all logs about a request.
func (f *onceFleet) logOf(id string) string {
	var found strings.Builder
	for _, h := range f.hosts {
		log, err := os.ReadFile(h.LogPath)
		require.NoError(f.t, err)
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, `"`+id+`"`) {
				found.WriteString(h.Name + " " + line)
			}
		}
	}
	return found.String()
}

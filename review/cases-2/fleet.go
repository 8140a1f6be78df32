package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	ports "corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// Names and figures of the small deployment.
const (
	callersHost   = "desk.example"
	engineService = "galley"
	account       = "skippers"
	apiKey        = "key-1"
	heartbeat     = 1200 * time.Millisecond
	graceSeconds  = 8
	contact       = 3 * time.Second
	readyWait     = 15 * time.Second
	memoryTokens  = 34181
	slots         = 24
	streamStride  = 4 // output tokens of an event
	callerPort    = 8740
	readyPort     = 8749
	peerPort      = 7200
	lastPeerPort  = 7215
)

// hostProcess is one edge process.
type hostProcess struct {
	name, ip, zone string
	command        *exec.Cmd
	log            string // path
	ended          chan struct{}
	endedAt        time.Time // set before ended is closed
	state          string    // set before ended is closed
}

// running reports whether the process has not ended.
func (h *hostProcess) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *hostProcess) caller() string { return fmt.Sprintf("%s:%d", h.ip, callerPort) }

// fleet is a small deployment.
type fleet struct {
	record  *record
	folder  string // temporary
	base    string // first three bytes of the addresses
	store   *standin.Store
	server  *http.Server
	address string // of the store
	hosts   []*hostProcess
	engines *engines
	version int
	last    int // last byte of the latest address
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, base: fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250), store: standin.NewStore(memstore.Options{}),
		engines: newEngines(r), last: 1}
	listener, err := net.Listen("tcp", f.base+".1:0")
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.running() {
			_ = h.command.Process.Kill()
			<-h.ended
		}
	}
	f.engines.closeAll()
	_ = f.server.Close()
	_ = os.RemoveAll(f.folder)
}

func (f *fleet) put(key string, value []byte) error {
	_, err := f.store.Put(context.Background(), key, value, ports.AnyRevision, 0)
	return err
}

// configure writes the next version of the configuration.
func (f *fleet) configure() error {
	f.version++
	c := standin.Configuration{Version: f.version, Timeout: 39 * time.Second, EngineService: engineService, Account: account, Keys: []string{apiKey}, MaxConnections: 232,
		Routes: []standin.Route{
			{Name: "brief", Kind: standin.Streaming, Service: engineService, Objective: 1800 * time.Millisecond, Attempts: 1},
			{Name: "summary", Kind: standin.Streaming, Service: engineService, Objective: 1500 * time.Millisecond, Attempts: 1, Timeout: 6 * time.Second},
		}}
	raw, err := c.Encode()
	if err != nil {
		return err
	}
	return f.put(platform.ConfigurationKey, raw)
}

// startEngine starts an engine and its heartbeat.
func (f *fleet) startEngine(id, zone string) (*engine, error) {
	listener, err := net.Listen("tcp", f.base+".1:0")
	if err != nil {
		return nil, err
	}
	e := f.engines.start(id, zone, listener)
	return e, f.register(e, "ready")
}

// register writes the entry of an engine.
func (f *fleet) register(e *engine, state string) error {
	f.record.add("engine %s writes its entry: %s", e.id, state)
	return f.put(platform.TargetPrefix+e.id, standin.ColdTargetEntry(e.zone, engineService, e.address, state, slots, e.born, 0))
}

// expire removes the entry of an engine, as the store does after three heartbeat intervals of silence.
func (f *fleet) expire(e *engine) error {
	f.record.add("the store removes the entry of engine %s", e.id)
	return f.store.Delete(context.Background(), platform.TargetPrefix+e.id, ports.AnyRevision)
}

// zoneOf returns the zone of the n-th host or engine.
func zoneOf(n int) string { return []string{"a", "b", "c"}[n%3] }

// startHosts starts n edge processes and waits until they are ready.
func (f *fleet) startHosts(n int) error {
	for range n {
		if err := f.startHost(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyWait)
	for _, h := range f.hosts {
		for !isReady(h) {
			if time.Now().After(deadline) || !h.running() {
				return fmt.Errorf("%w: %s", errNotReady, h.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(h *hostProcess) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", h.ip, readyPort, platform.ReadyPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startHost starts one edge process with the command of the deploy file.
func (f *fleet) startHost() error {
	f.last++
	h := &hostProcess{zone: zoneOf(len(f.hosts)), name: fmt.Sprintf("edge-%d", f.last-1), ip: fmt.Sprintf("%s.%d", f.base, f.last), ended: make(chan struct{})}
	settings, err := json.MarshalIndent(f.settings(h), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, h.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	h.log = filepath.Join(f.folder, h.name+".log")
	log, err := os.Create(h.log)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/edge")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERHITCH_NODE_FILE=" + path}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	f.record.add("%s started at %s, process %d", h.name, h.ip, h.command.Process.Pid)
	f.hosts = append(f.hosts, h)
	go func() {
		err := h.command.Wait()
		_ = log.Close()
		h.endedAt, h.state = time.Now(), fmt.Sprint(err)
		f.record.add("%s ended: %v", h.name, err)
		close(h.ended)
	}()
	return nil
}

// settings returns the settings file of a host.
func (f *fleet) settings(h *hostProcess) map[string]any {
	return map[string]any{
		"nodeName": h.name, "role": "edge", "machineClass": "edge", "serves": []string{"edge"}, "ip": h.ip, "zone": h.zone, "region": "west", "zones": map[string]string{"a": "west", "b": "west", "c": "west"},
		"listen":        map[string]string{"front": h.caller(), "ready": fmt.Sprintf("%s:%d", h.ip, readyPort)},
		"internalPorts": []int{peerPort, lastPeerPort}, "seeds": []string{}, "bootstrap": true, "faultCounted": false,
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"entry":  "vip", "discovery": "platform", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": contact.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceSeconds,
			"lostMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "revokeStrict": true, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retrySlack": 52, "recoverS": 12, "passMs": 120, "reuseWindowS": 4.4},
		"platform": map[string]any{"address": f.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	}
}

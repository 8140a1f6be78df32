package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform/standin"

	ports "corianderhitch/internal/platform"
)

const (
	configurationKey = "op/config"
	serverPrefix     = "servers/"
	siteHost         = "desk.example"
	edgePath         = "target/edge" // the program that the deploy file builds
	hostMemoryMB     = 134
	revokeWithin     = 5 * time.Second // revokeMs
	graceTime        = 8 * time.Second // graceS
	startTimeout     = 15 * time.Second
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec     *record
	dir     string
	store   *memstore.Store
	address string // of the store
	// storeAddress is under which hosts that start later reach the store; "" for address.
	storeAddress string
	subnet       int // third byte of the hosts' addresses
	servers      []*http.Server
	hosts        []*host
	version      int
}

func newFleet(rec *record) (*fleet, error) {
	if _, err := os.Stat(edgePath); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, subnet: 1 + os.Getpid()%200}
	store := standin.NewStore(memstore.Options{})
	f.store = store.Store
	f.address, err = f.listen(store)
	return f, err
}

// listen serves a handler on a free loopback address.
func (f *fleet) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.serve(listener, handler)
	return listener.Addr().String(), nil
}

// serve serves a handler on a listener until the deployment stops.
func (f *fleet) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// stop ends all processes and servers of the deployment.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// putConfiguration writes the next version of the configuration, as the operator does. It returns
// when the store has acknowledged it.
func (f *fleet) putConfiguration(c map[string]any) error {
	f.version++
	c["version"] = f.version
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err = f.store.Put(context.Background(), configurationKey, raw, ports.AnyRevision, 0); err == nil {
		f.rec.line("operator: configuration %d acknowledged: %s", f.version, raw)
	}
	return err
}

// register writes the entry of a server, as the server does.
func (f *fleet) register(id, service, address string, slots int) error {
	_, err := f.store.Put(context.Background(), serverPrefix+id, standin.TargetEntry(service, address, "ready", slots), ports.AnyRevision, 0)
	return err
}

// limits are those of the example in the users' pages.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// host is one edge process.
type host struct {
	name, front, ready string
	settings           string
	log                *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd     // guarded by mu
	exited chan struct{} // guarded by mu; closed when cmd has ended
}

// startHost starts an edge process and waits until the platform may send it clients.
func (f *fleet) startHost() (*host, error) {
	n := len(f.hosts) + 1
	h := &host{name: "edge-a-" + strconv.Itoa(n)}
	f.hosts = append(f.hosts, h)
	ip := fmt.Sprintf("127.%d.0.%d", f.subnet, n)
	h.front, h.ready = ip+":8740", ip+":8749"
	settings, err := json.Marshal(map[string]any{
		"nodeName": h.name, "role": "edge", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":        map[string]string{"front": h.front, "ready": h.ready},
		"internalPorts": []int{7200, 7215}, "seeds": []string{}, "bootstrap": true, "faultCounted": false,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": hostMemoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceTime.Seconds(), "lostMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "revokeStrict": true, "revokeMs": revokeWithin.Milliseconds(),
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52, "recoverS": 12, "passMs": 120, "reuseWindowS": 4.4},
		"platform": map[string]any{"address": cmp.Or(f.storeAddress, f.address), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	})
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(f.dir, h.name+".json")
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(f.dir, h.name+".log")); err != nil {
		return nil, err
	}
	return h, h.start()
}

// start starts the process and waits until it is ready.
func (h *host) start() error {
	cmd := exec.Command(edgePath)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERHITCH_NODE_FILE=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return errors.New(h.name + " did not get ready")
}

func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/corianderhitch/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

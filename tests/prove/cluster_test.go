package prove

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// readyTimeout bounds the start of a process on a busy machine.
const readyTimeout = 20 * time.Second

// clusterSpec describes the cluster of a test: the number of processes of each kind,
// their additional flags and the document.
type clusterSpec struct {
	hosts    int
	engines  int
	services int
	// engineArgs are appended to the flags of every engine.
	engineArgs []string
	// document replaces the default document.
	document string
	// agentArgs are appended to the flags of every agent.
	agentArgs []string
	// gatewayArgs are appended to the flags of every gateway.
	gatewayArgs []string
	// serviceArgs are appended to the flags of every service.
	serviceArgs []string
	// unsettled is set if requests come while the hosts don't know each other yet.
	unsettled bool
}

// host is one host of the deployment: a gateway and an agent. They reach the store,
// and others reach the agent, through proxies.
type host struct {
	name       string
	gateway    *harness.Process
	agent      *harness.Process
	callerURL  string         // of the gateway's endpoint for callers
	opsURL     string         // of the gateway's endpoint for operators
	agentRPC   string         // address of the proxy before the agent's net/rpc
	agentHTTP  string         // address of the agent's HTTP
	storeLink  *harness.Proxy // from gateway and agent to the store
	agentLink  *harness.Proxy // from other hosts to the agent
	localAgent string         // address of the agent's net/rpc without the proxy
	outboundIP string         // from which gateway and agent connect to targets
}

// target is one stand-in engine or plain service behind a proxy.
type target struct {
	name    string
	process *harness.Process
	link    *harness.Proxy // from gateways and agents to the target
	direct  string         // address without the proxy, for admin calls
	journal string         // path of the journal
}

// cluster is a whole deployment of separate processes on loopback.
type cluster struct {
	t            testing.TB
	dir          string
	store        *harness.Process
	storeAddress string // address without a proxy
	hosts        []*host
	engines      []*target
	services     []*target
	spec         clusterSpec
	peers        []string
	// publishedAt is when the first host list was written.
	publishedAt time.Time
}

// startCluster starts the processes and waits until every host is ready and, unless the
// cluster may be unsettled, knows all targets and gateways.
func startCluster(t testing.TB, spec clusterSpec) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), spec: spec, storeAddress: harness.FreeAddress(t)}
	c.store = launch(t, c.dir, "store", "standin", "store", "--listen", c.storeAddress)
	harness.Await(t, readyTimeout, "store answers", func() bool { return getOK("http://" + c.storeAddress + "/admin/counts") })
	for i := range spec.engines {
		c.addEngine(fmt.Sprintf("engine-%d", i+1))
	}
	for i := range spec.services {
		c.addService(fmt.Sprintf("booking-%d", i+1))
	}
	c.publishTargets(nil)
	c.publishedAt = time.Now()
	c.applyDocument(valueOr(spec.document, defaultDocument))
	for i := range spec.hosts {
		c.hosts = append(c.hosts, c.newHost(fmt.Sprintf("host-%d", i+1), domains[i%len(domains)]))
	}
	for _, h := range c.hosts {
		c.startHost(h)
	}
	for _, h := range c.hosts {
		c.awaitReady(h)
	}
	if spec.unsettled {
		return c
	}
	harness.Await(t, readyTimeout, "healthy targets on every host", c.targetsHealthy)
	harness.Await(t, readyTimeout, "every host knows every gateway", c.membersKnown)
	return c
}

// domains are the failure domains of the hosts and targets under test.
var domains = []string{"sk-west-a", "sk-west-b", "sk-west-c"}

func (c *cluster) newHost(name, domain string) *host {
	h := &host{name: name, localAgent: harness.FreeAddress(c.t), agentHTTP: harness.FreeAddress(c.t), outboundIP: fmt.Sprintf("127.0.2.%d", len(c.hosts)+1)}
	h.storeLink = harness.NewProxy(c.t, c.storeAddress)
	h.agentLink = harness.NewProxy(c.t, h.localAgent)
	h.agentRPC = h.agentLink.Address()
	listen := harness.FreeAddress(c.t)
	h.callerURL = "http://" + listen
	ops := harness.FreeAddress(c.t)
	h.opsURL = "http://" + ops
	c.peers = append(c.peers, h.agentRPC)
	h.agent = &harness.Process{Name: name + "-agent", Path: filepath.Join(programDir, "agent"), LogPath: filepath.Join(c.dir, name+"-agent.log")}
	h.agent.Args = append([]string{
		"--host", name, "--domain", domain, "--region", "sk-west",
		"--listen", h.localAgent, "--advertise", h.agentRPC, "--http", h.agentHTTP,
		"--store", "http://" + h.storeLink.Address(), "--environment", "production",
		"--log-level", "debug", "--outbound-ip", h.outboundIP,
	}, c.spec.agentArgs...)
	h.gateway = &harness.Process{Name: name + "-gateway", Path: filepath.Join(programDir, "gateway"), LogPath: filepath.Join(c.dir, name+"-gateway.log")}
	h.gateway.Args = append([]string{
		"--host", name, "--region", "sk-west", "--listen", listen, "--http", ops,
		"--store", "http://" + h.storeLink.Address(),
		"--token-keys", tokenKeys, "--log-level", "debug", "--outbound-ip", h.outboundIP,
	}, c.spec.gatewayArgs...)
	return h
}

// startHost starts both processes of a host. All hosts must have been created before,
// since their agents' addresses are passed as flags.
func (c *cluster) startHost(h *host) {
	h.agent.Args = append(h.agent.Args, "--peers", strings.Join(c.peers, ","))
	agents := []string{h.localAgent}
	for _, peer := range c.peers {
		if peer != h.agentRPC {
			agents = append(agents, peer)
		}
	}
	h.gateway.Args = append(h.gateway.Args, "--agents", strings.Join(agents, ","))
	for _, p := range []*harness.Process{h.agent, h.gateway} {
		p.Start(c.t)
		c.t.Cleanup(func() { p.KillAndShowLog(c.t) })
	}
}

func (c *cluster) awaitReady(h *host) {
	c.t.Helper()
	harness.Await(c.t, readyTimeout, h.name+" ready", func() bool { return getOK(h.opsURL+"/readyz") && getOK("http://"+h.agentHTTP+"/readyz") })
}

func (c *cluster) addEngine(name string) *target {
	e := c.newTarget(name)
	args := append([]string{"engine", "--listen", e.direct, "--name", name, "--domain", domains[len(c.engines)%len(domains)],
		"--model", "briefing@v1+sk,briefing@v2+sk", "--journal", e.journal}, c.spec.engineArgs...)
	e.process = launch(c.t, c.dir, name, "standin", args...)
	e.link.StopWithProcess(e.process)
	c.engines = append(c.engines, e)
	c.awaitTarget(e)
	return e
}

func (c *cluster) addService(name string) *target {
	s := c.newTarget(name)
	args := append([]string{"service", "--listen", s.direct, "--name", name,
		"--domain", domains[len(c.services)%len(domains)], "--service", "booking", "--journal", s.journal}, c.spec.serviceArgs...)
	s.process = launch(c.t, c.dir, name, "standin", args...)
	s.link.StopWithProcess(s.process)
	c.services = append(c.services, s)
	c.awaitTarget(s)
	return s
}

func (c *cluster) newTarget(name string) *target {
	direct := harness.FreeAddress(c.t)
	return &target{name: name, direct: direct, link: harness.NewProxy(c.t, direct), journal: filepath.Join(c.dir, name+".journal")}
}

func (c *cluster) awaitTarget(t *target) {
	c.t.Helper()
	harness.Await(c.t, readyTimeout, t.name+" answers", func() bool { return getOK("http://" + t.direct + "/livez") })
}

// applyDocument applies a document with the operators' command line.
func (c *cluster) applyDocument(text string, flags ...string) {
	c.t.Helper()
	file := filepath.Join(c.dir, fmt.Sprintf("document-%d.yaml", time.Now().UnixNano()))
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	args := append([]string{"apply", file, "--store", "http://" + c.storeAddress, "--environment", "production", "--operator", "prove"}, flags...)
	out, code := hitchctl(c.t, args...)
	require.Zerof(c.t, code, "hitchctl apply: %s", out)
}

// tryApplyDocument applies a document and ignores a rejection.
func (c *cluster) tryApplyDocument(text string) {
	file := filepath.Join(c.dir, fmt.Sprintf("try-%d.yaml", time.Now().UnixNano()))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Error(err)
		return
	}
	_, _ = hitchctl(c.t, "apply", file, "--store", "http://"+c.storeAddress, "--environment", "production", "--operator", "prove")
}

func valueOr(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
	"corianderhitch/internal/enginemodel"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/rpcconn"
	standin "corianderhitch/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds every wait of these tests. Waits end as soon as their condition
// holds.
const waitTimeout = 20 * time.Second

// deployment runs a store, engine stand-ins and agents on the loopback interface.
type deployment struct {
	t      *testing.T
	store  *memstore.Store
	agents []*Agent
	pool   *rpcconn.Pool
}

func deploy(t *testing.T, agents, engines int) *deployment {
	d := &deployment{t: t, store: memstore.New(memstore.Options{PollLimit: time.Second}), pool: rpcconn.NewPool(rpcconn.TCP)}
	t.Cleanup(d.pool.Close)
	for i := range engines {
		d.startEngine(fmt.Sprintf("engine-%d", i))
	}
	for i := range agents {
		d.agents = append(d.agents, d.startAgent(i))
	}
	t.Cleanup(func() {
		for _, a := range d.agents {
			if a != nil {
				a.Stop(context.Background())
			}
		}
	})
	return d
}

func (d *deployment) startEngine(name string) {
	server := standin.New(standin.Options{
		Model: enginemodel.Config{Name: name, Loaded: []engine.Loaded{{Model: "writer", Version: "1"}}},
		Log:   logging.Discard(),
	})
	web := httptest.NewServer(server.Handler())
	d.t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		web.Close()
	})
	d.store.PutTarget(platform.Target{
		Name: name, Address: strings.TrimPrefix(web.URL, "http://"), Domain: "d0", Region: "r", Kind: platform.TargetEngine,
	})
}

func (d *deployment) startAgent(i int) *Agent {
	a, err := Start(logging.Discard(), agentSettings(i), d.store)
	require.NoError(d.t, err)
	return a
}

func agentSettings(i int) Settings {
	return Settings{
		Host: fmt.Sprintf("host-%d", i), Domain: fmt.Sprintf("d%d", i%3), Region: "r", Environment: "trial",
		Listen: "127.0.0.1:0", Heartbeat: 100 * time.Millisecond, SuspectTime: 500 * time.Millisecond,
		PeerTimeout: 500 * time.Millisecond, Poll: 50 * time.Millisecond, PollTimeout: 500 * time.Millisecond,
		ListPeriod: 100 * time.Millisecond, DrainTime: time.Second,
	}
}

// await waits until the condition holds for every running agent. It checks the
// condition at every change of the agent's state.
func (d *deployment) await(what string, condition func(a *Agent) bool) {
	d.t.Helper()
	timeout := time.After(waitTimeout)
	for i, a := range d.agents {
		for a != nil {
			_, changed := a.State().Version()
			if condition(a) {
				break
			}
			select {
			case <-changed:
			case <-timeout:
				d.t.Fatalf("agent %d: no %s", i, what)
			}
		}
	}
}

func (d *deployment) apply(revision int64) {
	d.t.Helper()
	accepted, err := docstore.New(d.store).Apply(d.t.Context(), docstore.ApplyRequest{
		Environment: "trial", Base: revision - 1, Operator: "op", Document: document.Document{
			APIVersion: document.APIVersion, Environment: "trial", Objectives: document.Objectives{StallTime: float64(revision)},
			Models: []document.Model{{Name: "writer", Versions: []string{"1"}, MaxTokens: 100}},
			Accounts: []document.Account{{
				Name: "a", KeyHashes: []string{document.HashKey("secret")}, Serves: []document.Grant{{Model: "writer", Version: "1"}},
			}},
		},
	})
	require.NoError(d.t, err)
	require.Equal(d.t, revision, accepted.Revision)
}

func usable(n int) func(a *Agent) bool {
	return func(a *Agent) bool { return a.usableTargets() == int64(n) }
}

func inForce(revision int64) func(a *Agent) bool {
	return func(a *Agent) bool { return a.State().Document().Revision == revision }
}

func (d *deployment) call(a *Agent, method string, args, reply any) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	require.NoError(d.t, d.pool.Call(ctx, a.Address(), method, args, reply))
}

func TestAgentsServeGatewaysAndOperators(t *testing.T) {
	d := deploy(t, 4, 3)
	d.await("members", func(a *Agent) bool { return len(a.State().Live()) == 4 })
	d.await("targets", usable(3))
	d.apply(1)
	d.await("document", inForce(1))

	var snapshot control.SnapshotReply
	d.call(d.agents[1], "Control.Snapshot", control.SnapshotArgs{GatewayAddr: "127.0.0.1:9", Host: "host-1"}, &snapshot)
	require.Len(t, snapshot.Targets, 3)
	require.Len(t, snapshot.Members, 4)
	require.Equal(t, int64(1), snapshot.DocumentRevision)
	require.NotEmpty(t, snapshot.Document)

	admit := control.AdmitArgs{
		Ticket: "t1", Host: "host-1", Region: "r", Account: "a", RequestID: "r1", Model: "writer", Version: "1",
		PromptTokens: 10, MaxTokens: 10, Weight: 1, Deadline: time.Now().Add(waitTimeout),
	}
	var admitted control.AdmitReply
	d.call(d.agents[0], "Scheduler.Admit", admit, &admitted)
	require.True(t, admitted.Granted, admitted.Detail)
	d.call(d.agents[0], "Scheduler.Finish", control.FinishArgs{Finished: []control.Finished{{Ticket: "t1", Model: "writer", Complete: true}}}, new(control.Empty))

	var explained control.ExplainReply
	d.call(d.agents[3], "Control.Explain", control.ExplainArgs{Account: "a", RequestID: "r1"}, &explained)
	require.True(t, explained.Found, "an agent that did not make the decision asks the others")

	var status control.StatusReply
	d.call(d.agents[2], "Control.Status", control.Empty{}, &status)
	require.Len(t, status.Members, 4)
	for _, m := range status.Members {
		require.Equal(t, int64(1), m.DocumentRevision, m.Host)
	}
	require.True(t, status.StoreReachable)
}

func TestDocumentAndTargetsSurviveStoreOutage(t *testing.T) {
	d := deploy(t, 3, 2)
	d.apply(1)
	d.await("document", inForce(1))
	d.await("targets", usable(2))
	d.store.SetFault(memstore.Fault{Outage: true})
	settings := agentSettings(9)
	settings.Peers = []string{d.agents[0].Address()}
	joining, err := Start(logging.Discard(), settings, d.store)
	require.NoError(t, err)
	d.agents = append(d.agents, joining)
	d.await("document from peers", inForce(1))
	d.await("targets from peers", usable(2))
	require.True(t, joining.Ready())
	d.store.SetFault(memstore.Fault{})
	d.apply(2)
	d.await("new document", inForce(2))
}

func TestStopLeavesImmediatelyAndMovesDuties(t *testing.T) {
	d := deploy(t, 3, 3)
	d.await("members", func(a *Agent) bool { return len(a.State().Live()) == 3 })
	d.await("targets", usable(3))
	stopped := d.agents[0]
	d.agents[0] = nil
	stopped.Stop(context.Background())
	require.False(t, stopped.Ready())
	d.await("leave", func(a *Agent) bool { return len(a.State().Live()) == 2 })
	d.await("new observers", func(a *Agent) bool {
		for _, row := range a.State().Targets(time.Now()) {
			if row.Owner == "host-0" {
				return false
			}
		}
		return true
	})
}

func TestLeavingEventFromGatewayReachesAllAgents(t *testing.T) {
	d := deploy(t, 3, 2)
	d.await("targets", usable(2))
	d.await("members", func(a *Agent) bool { return len(a.State().Live()) == 3 })
	event := control.Event{ID: "n1", Kind: control.EventLeaving, Target: "engine-0", Seen: time.Now()}
	d.call(d.agents[2], "Control.News", control.EventsArgs{News: []control.Event{event}}, new(control.Empty))
	d.await("leaving", usable(1))
}

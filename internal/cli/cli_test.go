package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"net/rpc"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const trialFile = "../../examples/charter-trial.yaml"

// Control is a fake agent. catchUp, if set, may update the members before the reply to
// the poll with that number.
type Control struct {
	mu      sync.Mutex
	members []control.Member
	polls   int
	catchUp func(poll int, members []control.Member)
	held    []control.HeldPrefix
	events  []control.Event
}

// News implements Control.News.
func (c *Control) News(args control.EventsArgs, _ *control.Empty) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, args.News...)
	return nil
}

// Status implements Control.Status.
func (c *Control) Status(_ control.Empty, reply *control.StatusReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls++
	if c.catchUp != nil {
		c.catchUp(c.polls, c.members)
	}
	reply.Members = append([]control.Member{}, c.members...)
	reply.Held = c.held
	reply.Environment = "trial"
	reply.StoreReachable = true
	return nil
}

// Explain implements Control.Explain.
func (c *Control) Explain(args control.ExplainArgs, reply *control.ExplainReply) error {
	reply.Found = args.Account == "skippers" && args.RequestID == "r-1"
	if reply.Found {
		reply.Lines = []string{"admitted by host-a", "engine-3: prefix cached"}
	}
	return nil
}

// fixture is a store and a fake agent that listen on the loopback interface.
type fixture struct {
	t        *testing.T
	memory   *memstore.Store
	storeURL string
	agent    string
	control  *Control
}

func newFixture(t *testing.T) *fixture {
	memory := memstore.New(memstore.Options{})
	server := httptest.NewServer(store.New(memory).Handler())
	t.Cleanup(server.Close)
	c := &Control{members: []control.Member{
		{Host: "host-a", State: control.MemberAlive, AgentAddr: "127.0.0.1:1", GatewayAddr: "127.0.0.1:2"},
		{Host: "host-b", State: control.MemberAlive, AgentAddr: "127.0.0.1:3"},
		{Host: "host-c", State: control.MemberDead, AgentAddr: "127.0.0.1:4"},
	}}
	services := rpc.NewServer()
	require.NoError(t, services.RegisterName("Control", c))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	agent := rpcconn.Serve(listener, services)
	t.Cleanup(agent.Stop)
	return &fixture{t: t, memory: memory, storeURL: server.URL, agent: agent.Address(), control: c}
}

// run executes hitchctl against the store and the agent.
func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	f.t.Helper()
	var out, errs bytes.Buffer
	args = append(args, "--store", f.storeURL, "--agent", f.agent, "--operator", "ana")
	code = Run(f.t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// mustRun runs a command that must succeed and returns its output.
func (f *fixture) mustRun(args ...string) string {
	f.t.Helper()
	code, out, errs := f.run(args...)
	require.Equal(f.t, ExitOK, code, errs)
	return out
}

func editedDocument(t *testing.T, old, replacement string) string {
	t.Helper()
	source, err := os.ReadFile(trialFile)
	require.NoError(t, err)
	require.Contains(t, string(source), old)
	file := filepath.Join(t.TempDir(), "document.yaml")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(source), old, replacement, 1)), 0o600))
	return file
}

func TestHeldPrefixIsShownAndReleased(t *testing.T) {
	f := newFixture(t)
	f.mustRun("apply", trialFile)
	require.NotContains(t, f.mustRun("status", "--environment", "trial"), "HELD PREFIX")
	f.control.held = []control.HeldPrefix{{Prefix: "beef", Targets: []string{"engine-1", "engine-2"}, For: 90 * time.Second}}
	out := f.mustRun("status", "--environment", "trial")
	require.Regexp(t, `beef +engine-1 engine-2 +90 s`, out)
	require.Contains(t, f.mustRun("release", "beef"), "released beef")
	require.Len(t, f.control.events, 1)
	require.Equal(t, control.EventReleased, f.control.events[0].Kind)
	require.Equal(t, []uint64{0xbeef}, f.control.events[0].Prefixes)
	code, _, errs := f.run("release", "engine-1")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errs, "hitchctl status")
}

func TestDocumentCommands(t *testing.T) {
	f := newFixture(t)
	require.Contains(t, f.mustRun("validate", trialFile), "is valid: environment trial")
	require.Contains(t, f.mustRun("apply", trialFile, "--dry-run"), "dry run, nothing was changed; apply with --base 0")
	require.Contains(t, f.mustRun("apply", trialFile, "--comment", "first"), "accepted as revision 1 of trial (apply)")
	require.Contains(t, f.mustRun("apply", trialFile), "already this document")
	file := editedDocument(t, "weight: 6", "weight: 8")
	require.Contains(t, f.mustRun("diff", file), "~ accounts/booking-office/weight: 6 -> 8")
	require.Contains(t, f.mustRun("apply", file, "--base", "1"), "accepted as revision 2")
	require.Contains(t, f.mustRun("promote", "--revision", "1"), "accepted as revision 1 of production (promote trial@1)")
	require.Contains(t, f.mustRun("rollback", "--environment", "trial", "--to-revision", "1"), "accepted as revision 3 of trial (rollback 1)")
	history := f.mustRun("history", "--environment", "trial")
	require.Contains(t, history, "rollback 1")
	require.Contains(t, history, "first")
	require.Contains(t, f.mustRun("prune", "--environment", "trial"), "removed 0 history entries of trial")
	require.Contains(t, f.mustRun("prune", "--environment", "trial", "--dry-run", "--output", "json"), `"dry_run": true`)
	_, err := document.Parse([]byte(f.mustRun("show", "--environment", "production")))
	require.NoError(t, err, "what show prints is a valid source")
}

func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	f.mustRun("apply", trialFile)
	invalid := editedDocument(t, "model: briefing", "model: nowhere")
	cases := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"unknown command", []string{"frobnicate"}, ExitUsage, "unknown command"},
		{"unknown flag", []string{"status", "--colour"}, ExitUsage, "unknown flag"},
		{"bad setting", []string{"status", "--output", "xml"}, ExitUsage, "--output"},
		{"missing file", []string{"validate", "nowhere.yaml"}, ExitUsage, "cannot read the document"},
		{"no environment", []string{"history"}, ExitUsage, "--environment"},
		{"wrong environment", []string{"validate", trialFile, "--environment", "production"}, ExitUsage, "correct one of them"},
		{"promote without revision", []string{"promote"}, ExitUsage, "--revision"},
		{"explain without account", []string{"explain", "r-1"}, ExitUsage, "--account"},
		{"too few kept", []string{"prune", "--environment", "trial", "--keep", "1"}, ExitUsage, "keep at least 10"},
		{"incomplete TLS settings", []string{"status", "--tls-cert", "x"}, ExitUsage, "--tls-key"},
		{"resume key without id", []string{"key", "resume"}, ExitUsage, "--id"},
		{"invalid document", []string{"validate", invalid}, ExitInvalid, `is "nowhere", which is no model`},
		{"outdated base", []string{"apply", trialFile, "--base", "0"}, ExitConflict, "based on revision 0 of trial, but revision 1"},
		{"no such revision", []string{"promote", "--revision", "9"}, ExitError, "has no accepted revision 9"},
		{"agent down", []string{"explain", "r", "--account", "a", "--agent", "127.0.0.1:1"}, ExitUnreachable, "no agent answers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			args := append([]string{"--store", f.storeURL, "--agent", f.agent}, c.args...)
			require.Equal(t, c.code, Run(t.Context(), args, &out, &errs), errs.String())
			require.Contains(t, errs.String(), c.text)
		})
	}
	f.memory.SetFault(memstore.Fault{Outage: true})
	code, _, errs := f.run("apply", trialFile)
	require.Equal(t, ExitUnreachable, code)
	require.Contains(t, errs, "store: not reachable")
}

func TestStatusShowsRevisionsAndToleratesStoreOutage(t *testing.T) {
	f := newFixture(t)
	f.mustRun("apply", trialFile)
	f.control.members[0].DocumentRevision, f.control.members[0].GatewayRevision = 1, 0
	f.control.members[1].DocumentRevision = 1
	out := f.mustRun("status")
	require.Contains(t, out, "store reachable, revision 1 in force")
	require.Contains(t, out, "in force on every live host: false")
	f.control.members[0].GatewayRevision = 1
	var s statusResult
	require.NoError(t, json.Unmarshal([]byte(f.mustRun("status", "--output", "json")), &s))
	require.True(t, s.InForce)
	require.Len(t, s.Hosts, 3)

	f.memory.SetFault(memstore.Fault{Outage: true})
	code, out, _ := f.run("status")
	require.Equal(t, ExitUnreachable, code)
	require.Contains(t, out, "store not reached")
	require.Contains(t, out, "host-a", "what the agent reports is shown nevertheless")
}

func TestApplyWaitsForAllLiveHosts(t *testing.T) {
	f := newFixture(t)
	f.control.catchUp = func(poll int, members []control.Member) {
		members[0].DocumentRevision = 1
		if poll > 2 {
			members[0].GatewayRevision = 1
			members[1].DocumentRevision = 1
		}
	}
	var c changeResult
	require.NoError(t, json.Unmarshal([]byte(f.mustRun("apply", trialFile, "--wait", "--output", "json")), &c))
	require.NotNil(t, c.WaitSeconds)
	require.Equal(t, 2, c.Hosts)
	require.Equal(t, 3, f.control.polls, "one poll before the change, two after it")

	code, _, errs := f.run("promote", "--revision", "1", "--wait", "--wait-for", "10ms")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errs, `nothing was changed: the agent asked is of environment "trial", not "production"`)
	f.mustRun("promote", "--revision", "1")
	require.Contains(t, f.mustRun("status", "--environment", "production"), `warning: the agent asked is of environment "trial"`)

	code, _, errs = f.run("rollback", "--environment", "trial", "--to-revision", "1", "--wait", "--wait-for", "1s")
	require.Equal(t, ExitUnreachable, code)
	require.Contains(t, errs, "the revision is accepted, but was not seen in force")
	require.Contains(t, errs, "host-a (gateway)")
}

func TestJSONErrorsCarryKindAndDetails(t *testing.T) {
	f := newFixture(t)
	f.mustRun("apply", trialFile)
	code, _, errs := f.run("apply", trialFile, "--base", "0", "--output", "json")
	require.Equal(t, ExitConflict, code)
	var report struct {
		Kind    string
		Details struct{ Base, Current int64 }
	}
	require.NoError(t, json.Unmarshal([]byte(errs), &report))
	require.Equal(t, "revision-conflict", report.Kind)
	require.EqualValues(t, 1, report.Details.Current)
}

func TestExplainAndKeys(t *testing.T) {
	f := newFixture(t)
	require.Contains(t, f.mustRun("explain", "r-1", "--account", "skippers"), "engine-3: prefix cached")
	require.Contains(t, f.mustRun("explain", "r-2", "--account", "skippers"), "no agent remembers")
	var k newKeyResult
	require.NoError(t, json.Unmarshal([]byte(f.mustRun("key", "new", "--output", "json")), &k))
	require.Equal(t, document.HashKey(k.Key), k.Hash)
	require.Len(t, k.Key, 47)
	require.Regexp(t, "^k4:[0-9a-f]{64}\n$", f.mustRun("key", "resume", "--id", "k4"))
	require.Contains(t, f.mustRun("completion", "bash"), "hitchctl")
	require.Contains(t, f.mustRun("status", "--print-config"), "operator=ana")
}

func TestRevisionsLostByStoreAreDetected(t *testing.T) {
	f := newFixture(t)
	for i := range f.control.members {
		f.control.members[i].DocumentRevision, f.control.members[i].GatewayRevision = 57, 57
	}
	code, _, errs := f.run("apply", trialFile, "--wait")
	require.Equal(t, ExitUnreachable, code, "the command ends before --wait-for")
	require.Contains(t, errs, "apply it with --above 57")
	out := f.mustRun("status")
	require.Contains(t, out, "in force on every live host: false")
	require.Contains(t, out, "warning: hosts hold revision 57, but the store has lost it and is at 1")
	require.Contains(t, f.mustRun("apply", trialFile, "--above", "57"), "accepted as revision 58")
	require.Contains(t, f.mustRun("status"), "in force on every live host: false", "the hosts do not have the revision yet")
}

func TestApplySucceedsAfterLostAnswers(t *testing.T) {
	f := newFixture(t)
	for _, prefix := range []string{document.ChunkKey(""), document.HistoryPrefix("trial"), document.CurrentKey("trial")} {
		f.memory.SetFault(memstore.Fault{LoseNext: 1, Prefix: prefix})
		before := f.memory.Counts().LostAnswers
		out := f.mustRun("apply", editedDocument(t, "weight: 6", fmt.Sprintf("weight: %d", 10+before)))
		require.Contains(t, out, "accepted as revision")
		require.Equal(t, before+1, f.memory.Counts().LostAnswers, prefix)
	}
	f.memory.SetFault(memstore.Fault{})
	require.Equal(t, 4, strings.Count(f.mustRun("history", "--environment", "trial"), "\n"), "a header and three revisions")
}

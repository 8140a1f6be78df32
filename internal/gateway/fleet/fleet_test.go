package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rpcconn"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startFleet(t *testing.T, agents ...*fakeAgent) *Fleet {
	var addresses []string
	for _, a := range agents {
		addresses = append(addresses, a.server.Address())
	}
	pool := rpcconn.NewPool(rpcconn.TCP)
	f := New(Options{Host: "me", Region: "r", Agents: addresses, Log: logging.Discard()}, pool)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
		for _, a := range agents {
			a.server.Stop()
		}
	})
	return f
}

// awaitView waits until the view meets a condition.
func awaitView(t *testing.T, f *Fleet, condition func(*View) bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		changed := f.Changed()
		if condition(f.View()) {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatal("the view did not meet the condition within 10 s")
		}
	}
}

func hasRevision(n int64) func(*View) bool {
	return func(v *View) bool { return v.Index != nil && v.Index.Revision() == n }
}

func member(host string, a *fakeAgent) control.Member {
	return control.Member{Host: host, AgentAddr: a.server.Address(), State: control.MemberAlive}
}

func engineState(name string) control.TargetState {
	return control.TargetState{
		Healthy: true,
		Target:  platform.Target{Name: name, Region: "r", Kind: platform.TargetEngine},
		Load:    engine.LoadReport{Loaded: []engine.Loaded{{Model: "m", Version: "1"}}},
	}
}

func admitArgs(ticket string) control.AdmitArgs {
	return control.AdmitArgs{Ticket: ticket, Model: "m", Version: "1", Deadline: time.Now().Add(10 * time.Second)}
}

func TestDocumentRevisionNeverDecreases(t *testing.T) {
	one, two := newAgent(t), newAgent(t)
	one.revision, two.revision = 5, 4
	f := startFleet(t, one, two)
	awaitView(t, f, hasRevision(5))
	one.server.Stop()
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 0 && v.Index != nil })
	two.set(func() { two.members = []control.Member{member("two", two)} })
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 })
	require.EqualValues(t, 5, f.View().Index.Revision())
	two.set(func() { two.revision = 6 })
	awaitView(t, f, hasRevision(6))
	two.server.Stop()
	require.EqualValues(t, 6, f.View().Index.Revision())
	require.Len(t, f.View().Members, 1)
}

func TestGatewayThatNoAgentListsCountsItself(t *testing.T) {
	agent := newAgent(t)
	f := startFleet(t, agent)
	require.Empty(t, f.GatewayHosts(), "nothing is known before the first document")
	other, plain := member("other", agent), member("plain", agent)
	other.GatewayAddr = "127.0.0.1:1"
	agent.set(func() { agent.revision, agent.members = 1, []control.Member{member("me", agent), plain} })
	awaitView(t, f, hasRevision(1))
	require.Equal(t, []string{"me"}, f.GatewayHosts())
	agent.set(func() { agent.members = []control.Member{member("me", agent), other, plain} })
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 3 })
	require.Equal(t, []string{"me", "other"}, f.GatewayHosts())
	f.Drain()
	require.Equal(t, []string{"other"}, f.GatewayHosts())
}

func TestOwnerGrantsSlotAndReceivesRelease(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	a.grant = func(control.AdmitArgs) control.AdmitReply {
		return control.AdmitReply{Granted: true, Target: platform.Target{Name: "e1"}}
	}
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 })
	slot, err := f.Admit(t.Context(), admitArgs("t1"))
	require.NoError(t, err)
	require.Equal(t, 1, f.InFlight().Count("e1"))
	f.Release(slot, 42, true)
	require.Equal(t, control.Finished{Ticket: "t1", Target: "e1", Model: "m", Produced: 42, Complete: true}, <-a.finished)
	require.Zero(t, f.InFlight().Count("e1"))
	a.grant = func(control.AdmitArgs) control.AdmitReply {
		return control.AdmitReply{Kind: string(problem.KindOverloaded), RetryAfter: 3 * time.Second}
	}
	_, err = f.Admit(t.Context(), admitArgs("t2"))
	e := problem.From(err)
	require.Equal(t, problem.RanNo, e.Ran)
	require.Equal(t, 3*time.Second, e.RetryAfter)
}

// An owner that freezes while a request waits there must not block the request once
// the member list shows the owner as suspect.
func TestNextHostIsAskedWhenTheOwnerBecomesSuspect(t *testing.T) {
	one, two := newAgent(t), newAgent(t)
	received, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	var first *fakeAgent
	freezeFirst := func(a *fakeAgent) func(control.AdmitArgs) control.AdmitReply {
		return func(control.AdmitArgs) control.AdmitReply {
			if first == nil {
				first = a
				received <- struct{}{}
				<-release // a frozen owner doesn't answer
			}
			return control.AdmitReply{Granted: true, Target: platform.Target{Name: "e"}}
		}
	}
	one.grant, two.grant = freezeFirst(one), freezeFirst(two)
	members := []control.Member{member("one", one), member("two", two)}
	one.members, two.members = members, members
	f := startFleet(t, one, two)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 2 })
	go func() {
		<-received
		for _, a := range []*fakeAgent{one, two} {
			a.set(func() {
				a.members = append([]control.Member(nil), members...)
				for i := range a.members {
					if a.members[i].AgentAddr == first.server.Address() {
						a.members[i].State = control.MemberSuspect
					}
				}
			})
		}
	}()
	slot, err := f.Admit(t.Context(), admitArgs("t"))
	require.NoError(t, err)
	require.NotEqual(t, first.server.Address(), slot.owner)
}

func TestGatewayChoosesLocallyWithoutAgents(t *testing.T) {
	a := newAgent(t)
	a.targets = []control.TargetState{engineState("e1"), engineState("e2"), engineState("e3")}
	a.targets[1].Leaving = true
	a.targets[2].Healthy = false
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Targets) == 3 })
	a.server.Stop()
	slot, err := f.Admit(t.Context(), admitArgs("t"))
	require.NoError(t, err)
	require.Equal(t, "e1", slot.Target.Name)
	require.True(t, slot.ChosenLocally())
	f.Report(control.Event{Kind: control.EventLeaving, Target: "e1"})
	_, err = f.Admit(t.Context(), admitArgs("t"))
	require.Equal(t, problem.KindNoTarget, problem.From(err).Kind)
	require.Equal(t, problem.RanNo, problem.From(err).Ran)
}

func TestAdmissionCarriesCrashEvents(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	received := make(chan []control.Event, 1)
	a.grant = func(args control.AdmitArgs) control.AdmitReply {
		received <- args.News
		return control.AdmitReply{Granted: true, Target: platform.Target{Name: "e1"}}
	}
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 })
	args := admitArgs("t")
	args.News = []control.Event{{ID: "n", Kind: control.EventCrash, Target: "e"}}
	_, err := f.Admit(t.Context(), args)
	require.NoError(t, err)
	require.Equal(t, args.News, <-received)
}

// A host that answers that it does not own the pool may own it in a newer member list.
// A gateway that skipped it for a while would then use another owner than the others.
func TestNotOwnerAnswerDoesNotMarkUnresponsive(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	a.targets = []control.TargetState{engineState("e1")}
	a.admitError = errors.New("not owner: ask another host")
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 && len(v.Targets) == 1 })
	slot, err := f.Admit(t.Context(), admitArgs("t"))
	require.NoError(t, err)
	require.True(t, slot.ChosenLocally())
	require.False(t, f.isUnresponsive(purposeAdmission, a.server.Address()))
}

// A release that is not retried leaves the slot used at the owner for many minutes.
func TestSlotReleaseIsRetriedForUnresponsiveOwner(t *testing.T) {
	a := newAgent(t)
	f := startFleet(t, a)
	f.markUnresponsive(purposeAdmission, a.server.Address())
	ended := []finishReport{{owner: a.server.Address(), finished: control.Finished{Ticket: "t"}}}
	undelivered := f.flushFinished(ended)
	require.Len(t, undelivered, 1, "an unresponsive owner is not called")
	f.mu.Lock()
	clear(f.unresponsive)
	f.mu.Unlock()
	require.Empty(t, f.flushFinished(undelivered))
	require.Equal(t, "t", (<-a.finished).Ticket)

	undelivered[0].failedAttempts = maxFinishAttempts - 1
	undelivered[0].owner = "127.0.0.1:1" // nothing listens there
	require.Empty(t, f.flushFinished(undelivered), "no attempt is left")
}

// A slow directory or snapshot call at the pool's owner must not make the gateway skip
// the owner for admissions: the pool would have concurrent owners.
func TestDirectoryFailureDoesNotAffectAdmission(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	a.grant = func(control.AdmitArgs) control.AdmitReply {
		return control.AdmitReply{Granted: true, Target: platform.Target{Name: "e1"}}
	}
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 })
	f.markUnresponsive(purposeDirectory, a.server.Address())
	f.markUnresponsive(purposeSnapshot, a.server.Address())
	slot, err := f.Admit(t.Context(), admitArgs("t"))
	require.NoError(t, err)
	require.False(t, slot.ChosenLocally())
}

func TestAdmissionCarriesGatewayIncarnation(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	seen := make(chan int64, 1)
	a.grant = func(args control.AdmitArgs) control.AdmitReply {
		seen <- args.Incarnation
		return control.AdmitReply{Granted: true, Target: platform.Target{Name: "e1"}}
	}
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 })
	_, err := f.Admit(t.Context(), admitArgs("t"))
	require.NoError(t, err)
	require.Equal(t, f.started.UnixNano(), <-seen, "owners use it to recognize the slots of an earlier gateway process")
}

func TestCrashIsReportedAndTargetAvoided(t *testing.T) {
	a := newAgent(t)
	a.targets = []control.TargetState{engineState("e1"), engineState("e2")}
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Targets) == 2 })
	f.Report(control.Event{ID: "n", Kind: control.EventCrash, Target: "e1"})
	require.Equal(t, "n", (<-a.events).ID)
	for range 10 {
		slot, err := f.Admit(t.Context(), admitArgs("t"))
		require.NoError(t, err)
		require.Equal(t, "e2", slot.Target.Name)
	}
}

// A gateway whose last request has ended stops at once.
func TestGatewayEndsWithoutSendingItsLastReports(t *testing.T) {
	a := newAgent(t)
	pool := rpcconn.NewPool(rpcconn.TCP)
	t.Cleanup(func() {
		pool.Close()
		a.server.Stop()
	})
	f := New(Options{Host: "me", Region: "r", Agents: []string{a.server.Address()}, Log: logging.Discard()}, pool)
	f.Report(control.Event{ID: "n", Kind: control.EventCleared, Fingerprint: 7})
	f.queueFinished(a.server.Address(), control.Finished{Ticket: "t"})
	f.queueReplication(entryReplication{entry: control.DirectoryEntry{Account: "a", RequestID: "r", Generation: "g"}, owners: []string{a.server.Address()}, missing: 1})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.Run(ctx)
	assert.Len(t, a.events, 1, "the completion of a suspect")
	assert.Len(t, a.finished, 1, "the release of a slot")
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Len(t, a.entries, 1, "the second copy of an entry")
}

func TestDirectoryReturnsFirstRegistration(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	f := startFleet(t, a)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 1 })
	first := control.DirectoryEntry{Account: "a", RequestID: "r", Generation: "g1"}
	_, won := f.Register(t.Context(), first)
	require.True(t, won)
	second := first
	second.Generation = "g2"
	got, won := f.Register(t.Context(), second)
	require.False(t, won)
	require.Equal(t, "g1", got.Generation)
	got, found := f.Lookup(t.Context(), "a", "r")
	require.True(t, found)
	require.Equal(t, "g1", got.Generation)
	_, found = f.Lookup(t.Context(), "b", "r")
	require.False(t, found)
}

func TestDirectoryEntrySurvivesOwnerFailure(t *testing.T) {
	a, b := newAgent(t), newAgent(t)
	members := []control.Member{member("one", a), member("two", b)}
	a.members, b.members = members, members
	f := startFleet(t, a, b)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 2 })
	_, won := f.Register(t.Context(), control.DirectoryEntry{Account: "a", RequestID: "r", Generation: "g1"})
	require.True(t, won)
	holds := func(a *fakeAgent) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.entries) == 1
	}
	require.Eventually(t, func() bool { return holds(a) && holds(b) }, 10*time.Second, time.Millisecond)
	a.server.Stop()
	got, found := f.LookupWithRetry(t.Context(), "a", "r")
	require.True(t, found)
	require.Equal(t, "g1", got.Generation)
}

func TestDispatchRecordIsVisibleToOtherGateways(t *testing.T) {
	a := newAgent(t)
	a.members = []control.Member{member("h", a)}
	gateway, otherGateway := startFleet(t, a), startFleet(t)
	awaitView(t, gateway, func(v *View) bool { return len(v.Members) == 1 })
	require.True(t, otherGateway.MayHaveRun(t.Context(), "a", "k"), "no owner is known")
	otherGateway.publish(gateway.View())
	require.False(t, otherGateway.MayHaveRun(t.Context(), "a", "k"))
	gateway.RecordDispatch(t.Context(), "a", "k")
	require.True(t, otherGateway.MayHaveRun(t.Context(), "a", "k"))
	require.False(t, otherGateway.MayHaveRun(t.Context(), "b", "k"))
	a.server.Stop()
	require.True(t, otherGateway.MayHaveRun(t.Context(), "a", "other"))
}

func TestCoResidentsExcludeUnknownFingerprints(t *testing.T) {
	f := NewInFlight()
	end := f.Add("e", 1)
	f.Add("e", 2)
	f.Add("e", 0)
	f.Add("other", 3)
	require.Equal(t, []uint64{2}, f.CoResidents("e", 1))
	end()
	end()
	require.Equal(t, 2, f.Count("e"))
	require.Empty(t, f.CoResidents("e", 2))
}

// The record of a call is on a host that does not answer. An answer of another host, which
// keeps no record, does not show that the call has not run.
func TestCallMayHaveRunIfAnyOwnerIsSilent(t *testing.T) {
	a, b := newAgent(t), newAgent(t)
	a.members = []control.Member{member("one", a), member("two", b)}
	f := startFleet(t, a, b)
	awaitView(t, f, func(v *View) bool { return len(v.Members) == 2 })
	require.False(t, f.MayHaveRun(t.Context(), "a", "k"))
	b.server.Stop()
	require.True(t, f.MayHaveRun(t.Context(), "a", "k"))
	require.True(t, f.MayHaveRun(t.Context(), "a", "k"), "also when the host is known to be unresponsive")
}

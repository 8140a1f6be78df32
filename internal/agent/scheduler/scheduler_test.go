package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
	"corianderhitch/internal/agent/docsync"
	"corianderhitch/internal/agent/suspicion"
	"corianderhitch/internal/document"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/scheduling"
	crashes "corianderhitch/internal/scheduling/suspicion"
)

// fakeFleet is a Fleet whose state a test sets.
type fakeFleet struct {
	mu      sync.Mutex
	self    control.Member
	members []control.Member
	targets []control.TargetState
	events  []control.Event
}

func (f *fakeFleet) Self() control.Member { return f.self }
func (f *fakeFleet) Members() []control.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]control.Member(nil), f.members...)
}
func (f *fakeFleet) Member(host string) (control.Member, bool) {
	for _, m := range f.Members() {
		if m.Host == host {
			return m, true
		}
	}
	return control.Member{}, false
}
func (f *fakeFleet) Targets(time.Time) []control.TargetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]control.TargetState(nil), f.targets...)
}
func (f *fakeFleet) Document() docsync.Current { return docsync.Current{} }
func (f *fakeFleet) AddEvents(_ time.Time, events []control.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, events...)
}
func (f *fakeFleet) setMembers(members ...control.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

func alive(host string) control.Member {
	return control.Member{Host: host, Region: "r", State: control.MemberAlive}
}

func target(name, version string) control.TargetState {
	return control.TargetState{
		Target:  platform.Target{Name: name, Kind: platform.TargetEngine, Region: "r", Address: name},
		Healthy: true,
		Load: engine.LoadReport{
			ReportedAt: time.Now(), TotalBlocks: 1024, BlockTokens: 64, StepMS: 20,
			Loaded: []engine.Loaded{{Model: "writer", Version: version}},
		},
	}
}

func admitArgs(ticket string) control.AdmitArgs {
	return control.AdmitArgs{
		Ticket: ticket, Host: "gw", Region: "r", Account: "a", Model: "writer", Version: "1", RequestID: "id-" + ticket,
		PromptTokens: 10, MaxTokens: 50, Weight: 1, Deadline: time.Now().Add(5 * time.Second), Fingerprint: 7,
	}
}

// oneAtATime is a policy that runs one request at a time, on target e1.
type oneAtATime struct {
	*scheduling.LeastInFlight
	queue []scheduling.Request
	busy  map[string]string
}

func (p *oneAtATime) Submit(_ time.Time, r scheduling.Request) { p.queue = append(p.queue, r) }
func (p *oneAtATime) Finish(_ time.Time, f scheduling.Finished) {
	for name, ticket := range p.busy {
		if ticket == f.Ticket {
			delete(p.busy, name)
		}
	}
}
func (p *oneAtATime) Decide(time.Time) scheduling.Decisions {
	if len(p.queue) == 0 || len(p.busy) > 0 {
		return scheduling.Decisions{}
	}
	ticket := p.queue[0].Ticket
	p.queue = p.queue[1:]
	p.busy["e1"] = ticket
	return scheduling.Decisions{Grants: []scheduling.Grant{{Ticket: ticket, Target: "e1"}}}
}

func newOneAtATime(scheduling.Config) scheduling.Policy {
	return &oneAtATime{LeastInFlight: scheduling.NewLeastInFlight(), busy: make(map[string]string)}
}

func newScheduler(policy PolicyFactory, targets ...control.TargetState) (*Scheduler, *fakeFleet, *suspicion.FleetTracker) {
	fleet := &fakeFleet{self: alive("h1"), members: []control.Member{alive("h1"), alive("gw")}, targets: targets}
	suspects := &suspicion.FleetTracker{}
	return Start(logging.Discard(), fleet, policy, suspects), fleet, suspects
}

func TestAdmitGrantsAndExplains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		product := func(c scheduling.Config) scheduling.Policy { return scheduling.NewPool(c) }
		s, _, _ := newScheduler(product, target("e1", "1"), target("e2", "2"))
		defer s.Stop()
		reply, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		require.True(t, reply.Granted, reply.Detail)
		require.Equal(t, "e1", reply.Target.Name, "only e1 has the version")
		require.Len(t, s.Explain(control.ExplainArgs{Account: "a", RequestID: "id-t1"}), 1)
		require.Empty(t, s.Explain(control.ExplainArgs{Account: "b", RequestID: "id-t1"}))
	})
}

func TestAdmitRejectsUnservedModelImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newScheduler(newOneAtATime, target("e1", "2"))
		defer s.Stop()
		start := time.Now()
		reply, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		require.Equal(t, string(problem.KindNoTarget), reply.Kind)
		require.Positive(t, reply.RetryAfter)
		require.Zero(t, time.Since(start), "the rejection was delayed")
		invalid := admitArgs("t2")
		invalid.Account = ""
		_, err = s.Admit(invalid)
		require.ErrorIs(t, err, ErrInvalidAdmit)
	})
}

func TestFinishReleasesSlotAndWithdrawsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		_, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		answers := make(chan control.AdmitReply, 2)
		admit := func(ticket string) {
			reply, err := s.Admit(admitArgs(ticket))
			require.NoError(t, err)
			answers <- reply
		}
		go admit("t2")
		synctest.Wait()
		s.Finish(control.FinishArgs{Finished: []control.Finished{{Ticket: "t2", Model: "writer"}}})
		require.False(t, (<-answers).Granted, "withdrawn request was granted")
		go admit("t3")
		synctest.Wait()
		s.Finish(control.FinishArgs{Finished: []control.Finished{{Ticket: "t1", Model: "writer", Complete: true}}})
		require.True(t, (<-answers).Granted)
	})
}

func TestSlotOfDeadGatewayIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, fleet, _ := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		_, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		dead := alive("gw")
		dead.State = control.MemberDead
		fleet.setMembers(alive("h1"), dead)
		other := admitArgs("t2")
		other.Host = "h1"
		start := time.Now()
		reply, err := s.Admit(other)
		require.NoError(t, err)
		require.True(t, reply.Granted)
		require.LessOrEqual(t, time.Since(start), 2*maintenanceInterval)
	})
}

func TestRestartedGatewayReleasesOldSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		before, after := admitArgs("t1"), admitArgs("t2")
		before.Incarnation, after.Incarnation = 1, 2
		_, err := s.Admit(before)
		require.NoError(t, err)
		reply, err := s.Admit(after)
		require.NoError(t, err)
		require.True(t, reply.Granted)
	})
}

func TestRestartedOwnerRefillsTheRatesOfAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := func(c scheduling.Config) scheduling.Policy {
			c.Limits = map[string]document.Limits{"a": {RequestsPerSecond: 2}}
			return scheduling.NewPool(c)
		}
		granted := 0
		for range 3 { // processes of the owner
			s, _, _ := newScheduler(limited, target("e1", "1"))
			for n := range 3 {
				reply, err := s.Admit(admitArgs(fmt.Sprint(granted, "-", n)))
				require.NoError(t, err)
				if reply.Granted {
					granted++
				}
			}
			s.Stop()
		}
		require.LessOrEqual(t, granted, 2, "requests granted in one moment, 2 a second are allowed")
	})
}

func TestNewOwnerRefillsTheRatesOfAccounts(t *testing.T) {
	key := Key{Model: "writer", Region: "r"}
	owner := "" // a host that owns the pool while it lives
	for n := 0; owner == ""; n++ {
		host := fmt.Sprint("host-", n)
		if rank, _ := Rank(key, host, []control.Member{alive("h1"), alive(host)}); rank == 0 {
			owner = host
		}
	}
	limited := func(c scheduling.Config) scheduling.Policy {
		c.Limits = map[string]document.Limits{"a": {RequestsPerSecond: 2}}
		return scheduling.NewPool(c)
	}
	for name, c := range map[string]struct {
		usedBefore bool          // this host served the pool before the owner left
		idle       time.Duration // since the owner left
		want       int
	}{
		"owner has just left":                            {want: 0},
		"owner has just left, pool was served here, too": {usedBefore: true, want: 0},
		"owner left a while ago":                         {idle: 5 * time.Second, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, fleet, _ := newScheduler(limited, target("e1", "1"))
				defer s.Stop()
				n := 0
				granted := func() (granted int) {
					for range 3 {
						n++
						reply, err := s.Admit(admitArgs(fmt.Sprint("t-", n)))
						require.NoError(t, err)
						if reply.Granted {
							granted++
						}
					}
					return granted
				}
				fleet.setMembers(alive("h1"), alive(owner))
				time.Sleep(2 * time.Minute)
				if c.usedBefore {
					granted()
					time.Sleep(2 * time.Minute)
				}
				fleet.setMembers(alive("h1"))
				time.Sleep(maintenanceInterval + c.idle)
				synctest.Wait()
				require.Equal(t, c.want, granted())
				time.Sleep(time.Second)
				require.Equal(t, 2, granted(), "the rate itself is granted")
			})
		})
	}
}

func TestQuietAccountWaitsForItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := func(c scheduling.Config) scheduling.Policy {
			c.Limits = map[string]document.Limits{"a": {RequestsPerSecond: 0.1, TokensPerMinute: 60}}
			return scheduling.NewPool(c)
		}
		s, fleet, _ := newScheduler(limited, target("e1", "1"))
		defer s.Stop()
		fleet.setMembers(alive("h1"))
		time.Sleep(time.Minute)
		reply, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		require.True(t, reply.Granted, "the account of an owner that has run for a while: %s", reply.Detail)
	})
}

func TestWaitingRequestsAreRedirectedToNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, fleet, _ := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		_, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		failed := make(chan error, 1)
		go func() {
			_, err := s.Admit(admitArgs("t2"))
			failed <- err
		}()
		synctest.Wait()
		left := alive("h1")
		left.State = control.MemberLeft
		fleet.setMembers(left, alive("a"), alive("b"), alive("c"), alive("gw"))
		err = <-failed
		require.ErrorIs(t, err, ErrNotOwner)
		require.Contains(t, err.Error(), "owner ")
	})
}

func TestUnansweredRequestIsRejectedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		_, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		start := time.Now()
		reply, err := s.Admit(admitArgs("t2"))
		require.NoError(t, err)
		require.Equal(t, string(problem.KindDeadline), reply.Kind)
		require.Equal(t, 5*time.Second+deadlineGrace, time.Since(start))
	})
}

func TestCrashSuspectIsClearedOnCompletionAndRejectedAfterNextCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, fleet, suspects := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		suspects.Add(time.Now(), control.Event{Kind: control.EventCrash, Target: "x", Fingerprint: 7})
		reply, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		require.True(t, reply.Granted)
		s.Finish(control.FinishArgs{Finished: []control.Finished{{Ticket: "t1", Model: "writer", Complete: true}}})
		synctest.Wait()
		require.Len(t, fleet.events, 1)
		require.Equal(t, control.EventCleared, fleet.events[0].Kind)

		suspects.Add(time.Now(), control.Event{Kind: control.EventCrash, Target: "y", Fingerprint: 7})
		reply, err = s.Admit(admitArgs("t2"))
		require.NoError(t, err)
		require.Equal(t, string(problem.KindCrashSuspect), reply.Kind)
		require.Positive(t, reply.RetryAfter)
	})
}

// No two requests are alike, so that only a part of their prompts tells that they crash
// targets.
func TestRequestsWithAHeldPartAreRejectedAtOnceAndWhileTheyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, fleet, _ := newScheduler(newOneAtATime, target("e1", "1"))
		defer s.Stop()
		args := func(ticket string, fingerprint uint64, prefixes ...uint64) control.AdmitArgs {
			a := admitArgs(ticket)
			a.Fingerprint, a.PrefixHashes = fingerprint, prefixes
			return a
		}
		sound, err := s.Admit(args("sound", 50, 1, 3))
		require.NoError(t, err)
		require.True(t, sound.Granted)
		answers := make(chan control.AdmitReply, 1)
		go func() {
			reply, err := s.Admit(args("waits", 51, 1, 2, 99))
			require.NoError(t, err)
			answers <- reply
		}()
		for i := range uint64(4) {
			time.Sleep(300 * time.Millisecond)
			require.Empty(t, answers)
			s.RecordEvent(time.Now(), control.Event{
				ID: fmt.Sprint("c", i), Kind: control.EventCrash, Target: fmt.Sprint("x", i), Fingerprint: 60 + i, Prefixes: []uint64{1, 2, 70 + i},
			})
		}
		require.Equal(t, string(problem.KindCrashSuspect), (<-answers).Kind, "waiting when the part became known")
		begin := time.Now()
		reply, err := s.Admit(args("next", 52, 1, 2, 98))
		require.NoError(t, err)
		require.Equal(t, string(problem.KindCrashSuspect), reply.Kind)
		require.Contains(t, reply.Detail, "prefix 2")
		require.Positive(t, reply.RetryAfter)
		require.Zero(t, time.Since(begin))

		s.Finish(control.FinishArgs{Finished: []control.Finished{{Ticket: "sound", Model: "writer", Produced: 5, Complete: true}}})
		synctest.Wait()
		reply, err = s.Admit(args("other", 53, 1, 3, 97))
		require.NoError(t, err)
		require.True(t, reply.Granted, "shares the first part only")
		time.Sleep(time.Second)
		s.Finish(control.FinishArgs{Finished: []control.Finished{{Ticket: "other", Model: "writer", Produced: 5, Complete: true}}})
		synctest.Wait()
		require.Len(t, fleet.events, 3, "the hold, an answer from before the crashes, and one after them")
		require.Equal(t, control.EventHeld, fleet.events[0].Kind)
		require.Equal(t, []uint64{2}, fleet.events[0].Prefixes)
		for _, e := range fleet.events[1:] {
			require.Equal(t, control.EventCleared, e.Kind)
			require.Equal(t, []uint64{1}, e.Prefixes, "the other hosts learn that the first part is sound")
		}
		require.Equal(t, time.Second, fleet.events[2].Since)
	})
}

// The end of a request arrives while the inbox of its pool is full of other messages. It
// must not be dropped: the slot would stay taken until its grant expires.
func TestFinishIsKeptWhileTheInboxIsFull(t *testing.T) {
	p := &pool{inbox: make(chan message, 1)}
	var handled []int
	note := func(n int) message { return func(*pool, time.Time) { handled = append(handled, n) } }
	require.True(t, p.send(note(0)))
	require.False(t, p.send(note(1)), "new requests are rejected")
	p.sendAlways(note(2))
	p.sendAlways(note(3))
	p.handleBacklog()
	require.Equal(t, []int{0, 2, 3}, handled)
}

// crashPolicy records what it is told of crashes.
type crashPolicy struct {
	*oneAtATime
	crashed []string
	remote  []crashes.Crash
	cleared []uint64
}

func (p *crashPolicy) Crashed(_ time.Time, target string)    { p.crashed = append(p.crashed, target) }
func (p *crashPolicy) RecordRemoteCrash(crash crashes.Crash) { p.remote = append(p.remote, crash) }
func (p *crashPolicy) RecordSurvival(uint64, time.Time)      {}
func (p *crashPolicy) RecordCompletion(request uint64, _ time.Time) {
	p.cleared = append(p.cleared, request)
}

// Guards against a repaired crash that ends what runs on its target now, or that names
// today's requests as its suspects, and against a pool that starts without it.
func TestEarlierCrashIsCountedOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &crashPolicy{oneAtATime: newOneAtATime(scheduling.Config{}).(*oneAtATime)}
		s, _, suspects := newScheduler(func(scheduling.Config) scheduling.Policy { return policy }, target("e1", "1"))
		defer s.Stop()
		crash := control.Event{ID: "c1", Kind: control.EventCrash, Target: "e1", Fingerprint: 8, Age: 20 * time.Minute}
		require.Equal(t, crash, s.RecordEvent(time.Now(), crash))
		reply, err := s.Admit(admitArgs("t1"))
		require.NoError(t, err)
		require.True(t, reply.Granted)
		synctest.Wait()
		require.Len(t, policy.remote, 1, "known to a pool that starts later")
		require.Equal(t, 20*time.Minute, time.Since(policy.remote[0].At))

		crash.ID, crash.Age = "c2", 10*time.Minute
		require.Equal(t, crash, s.RecordEvent(time.Now(), crash), "the request that runs now is no suspect")
		s.RecordEvent(time.Now(), control.Event{ID: "f", Kind: control.EventCleared, Fingerprint: 9, Age: 10 * time.Minute})
		synctest.Wait()
		require.Empty(t, policy.crashed)
		require.Len(t, policy.remote, 2)
		require.Equal(t, []uint64{9}, policy.cleared)
		verdict, _ := suspects.Verdict(time.Now(), 8)
		require.Equal(t, crashes.Reject, verdict)

		crash.ID, crash.Age = "c3", 0
		s.RecordEvent(time.Now(), crash)
		synctest.Wait()
		require.Equal(t, []string{"e1"}, policy.crashed, "a crash now ends what runs on its target")
	})
}

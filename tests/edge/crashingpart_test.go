package edge_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/cli"
	"corianderhitch/internal/edge/relay"
	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

const (
	guiltyPart    = "guilty-part"
	crashDelay    = 40 * time.Millisecond  // from the start of a run with the part to the crash
	engineAbsence = 700 * time.Millisecond // from a crash to the next incarnation
	// contact is within how long hosts must have learned of a crash.
	contact = 3 * time.Second
	// crashesToLearn and sendsAfterwards are the bound: requests with a part under which
	// crashesToLearn engines have crashed reach engines sendsAfterwards times at most, later
	// than contact after that.
	crashesToLearn  = 5
	sendsAfterwards = 3
)

// crashFleet is a fleet whose engines crash by parts of prompts and come back.
type crashFleet struct {
	*fleet
	set *standin.Engines

	mu      sync.Mutex
	engines []*standin.Engine // guarded by mu; all incarnations
	load    sync.WaitGroup
	guilty  []sentRequest // guarded by mu
	sound   []sentRequest // guarded by mu
}

// sentRequest is a request with its answer.
type sentRequest struct {
	id   string
	at   time.Time
	took time.Duration
	answer
}

func newCrashFleet(t *testing.T, hosts, engines int) *crashFleet {
	f := &crashFleet{fleet: newFleet(t), set: standin.NewEngines()}
	f.configure()
	for i := range engines {
		f.engines = append(f.engines, f.startEngine(f.set, fmt.Sprintf("e-%d", i+1)))
	}
	for range hosts {
		f.startHost()
	}
	return f
}

// crashOn makes engines crash by a part. Each comes back as another incarnation, every
// second one at the same address if that is free.
func (f *crashFleet) crashOn(part string, mode standin.CrashMode) {
	f.set.CrashOnPart(part, mode, crashDelay, func(c standin.Crash) {
		time.Sleep(engineAbsence)
		ctx := f.t.Context()
		if ctx.Err() != nil {
			return
		}
		_ = f.store.Delete(ctx, platform.TargetPrefix+c.Engine.ID, ports.AnyRevision)
		f.mu.Lock()
		defer f.mu.Unlock()
		address := "127.0.0.1:0"
		if len(f.engines)%2 == 0 && mode != standin.CrashSilent {
			address = c.Engine.Address()
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				f.t.Error(err)
				return
			}
		}
		e := f.set.Start(fmt.Sprintf("e-%d", len(f.engines)+1), listener)
		f.t.Cleanup(e.Crash)
		f.engines = append(f.engines, e)
		_, _ = f.store.Put(ctx, platform.TargetPrefix+e.ID, standin.TargetEntry(engineService, e.Address(), "ready", 6), ports.AnyRevision, 0)
	})
}

// reached returns when requests with the part reached engines, in ascending order.
func (f *crashFleet) reached(part string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var at []time.Time
	for _, e := range f.engines {
		for _, r := range e.Requests() {
			if standin.SharesPart(r.Header, part) {
				at = append(at, r.ReceivedAt)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// mayHaveRun reports whether a request reached an engine that did not reject it as meant for
// the incarnation that had the address before.
func (f *crashFleet) mayHaveRun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		for _, r := range e.Requests() {
			if r.ID() == id && r.ExpectedTarget() == e.ID {
				return true
			}
		}
	}
	return false
}

// keepSending sends a request to each host in turn until ctx ends.
func (f *crashFleet) keepSending(ctx context.Context, interval time.Duration, sent *[]sentRequest, name, route string, prefix func(n int) string) {
	f.load.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			h := f.hosts[n%len(f.hosts)]
			id := fmt.Sprintf("%s-%d", name, n)
			r := h.request(context.Background(), http.MethodPost, route, id, []byte("prompt of "+id))
			(&standin.Call{ID: id, APIKey: apiKey, Timeout: callerTimeout, Events: 10 + n%7}).SetHeaders(r)
			r.Header.Set(headers.PromptPrefix, prefix(n))
			f.load.Go(func() {
				s := sentRequest{id: id, at: time.Now()}
				s.answer = send(r)
				s.took = time.Since(s.at)
				f.mu.Lock()
				*sent = append(*sent, s)
				f.mu.Unlock()
			})
			time.Sleep(interval)
		}
	})
}

// guiltyPrefix and soundPrefix share the first part and the account's part.
func guiltyPrefix(part string) func(int) string {
	return func(n int) string { return fmt.Sprintf("first:100,account:50,%s:300,own-%d:20", part, n) }
}

func soundPrefix(n int) string {
	return fmt.Sprintf("first:100,account:50,subject-%d:300,sound-%d:20", n%5, n)
}

// servedShare returns the share of the requests sent from then to until that were served,
// and their number.
func servedShare(sent []sentRequest, from, until time.Time) (float64, int) {
	served, all := 0, 0
	for _, s := range sent {
		if s.at.Before(from) || !s.at.Before(until) {
			continue
		}
		all++
		if s.err == nil && s.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(all, 1)), all
}

// requireBoundedSends checks the bound of sends for a part. It returns when the fifth engine
// crashed by it, or the last one.
func (f *crashFleet) requireBoundedSends(part string, crashed []standin.Crash) time.Time {
	f.t.Helper()
	require.NotEmpty(f.t, crashed)
	if len(crashed) < crashesToLearn {
		return crashed[len(crashed)-1].At
	}
	fifth := crashed[crashesToLearn-1].At
	late := 0
	for _, at := range f.reached(part) {
		if at.After(fifth.Add(contact)) {
			late++
		}
	}
	require.LessOrEqual(f.t, late, sendsAfterwards, "sends of %s later than %v after the fifth crash; %d crashes", part, contact, len(crashed))
	return fifth
}

// requireTrueRejections checks what callers of requests with the part were told after from.
func (f *crashFleet) requireTrueRejections(from time.Time) {
	f.t.Helper()
	rejected := 0
	for _, s := range f.guilty {
		if s.err != nil || s.status != http.StatusServiceUnavailable {
			continue
		}
		require.False(f.t, f.mayHaveRun(s.id), "%s was told that it had not run", s.id)
		if s.at.After(from) {
			rejected++
			require.Equal(f.t, "crash_suspect\n", s.body)
			require.NotEmpty(f.t, s.header.Get(headers.RetryAfter))
			require.Less(f.t, s.took, time.Second, s.id)
		}
	}
	require.Greater(f.t, rejected, 10)
}

// BUDGET: requests whose prompts share a part that crashes engines went on to reach engines.
func TestPartThatCrashesEnginesIsHeldBackByAllHosts(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		mode           standin.CrashMode
		survivesBefore bool
		route          string // of the requests with the part; "" for draft
	}{
		"reset": {mode: standin.CrashReset}, "close": {mode: standin.CrashClose}, "silence": {mode: standin.CrashSilent},
		"in an answer that ends with its connection": {mode: standin.CrashInAnswer},
		"reset, resumable":                           {mode: standin.CrashReset, route: "lookup"},
		"silence, resumable":                         {mode: standin.CrashSilent, route: "lookup"},
		"reset, survived before":                     {mode: standin.CrashReset, survivesBefore: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 3, 6)
			ctx, stop := context.WithCancel(t.Context())
			defer f.load.Wait()
			defer stop()
			began := time.Now()
			f.keepSending(ctx, 30*time.Millisecond, &f.sound, "sound", "draft", soundPrefix)
			if c.survivesBefore {
				f.keepSending(ctx, 200*time.Millisecond, &f.guilty, "before", "draft", guiltyPrefix(guiltyPart))
			}
			time.Sleep(1500 * time.Millisecond)
			f.crashOn(guiltyPart, c.mode)
			guiltyFrom := time.Now()
			f.keepSending(ctx, 110*time.Millisecond, &f.guilty, "guilty", cmp.Or(c.route, "draft"), guiltyPrefix(guiltyPart))

			require.Eventually(t, func() bool { return len(f.set.Crashes()) >= 4 }, waitTimeout, checkInterval)
			time.Sleep(2 * contact)
			calmFrom := time.Now()
			time.Sleep(2 * time.Second)
			calmUntil := time.Now()
			stop()
			f.load.Wait()

			crashed := f.set.Crashes()
			learned := f.requireBoundedSends(guiltyPart, crashed)
			f.requireTrueRejections(learned.Add(contact))
			before, _ := servedShare(f.sound, began, guiltyFrom)
			after, n := servedShare(f.sound, calmFrom, calmUntil)
			t.Logf("%d crashes; sound requests served: %.3f before, %.3f after (%d)", len(crashed), before, after, n)
			require.Greater(t, n, 20)
			require.GreaterOrEqual(t, after, before)
		})
	}
}

// holdGuiltyPart sends requests with the guilty part until all hosts hold it back, and returns the
// function that stops sending.
func (f *crashFleet) holdGuiltyPart() (stop func()) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	f.crashOn(guiltyPart, standin.CrashReset)
	f.keepSending(ctx, 30*time.Millisecond, &f.sound, "sound", "draft", soundPrefix)
	f.keepSending(ctx, 110*time.Millisecond, &f.guilty, "guilty", "draft", guiltyPrefix(guiltyPart))
	require.Eventually(f.t, f.isHeldBack, waitTimeout, checkInterval)
	return func() {
		cancel()
		f.load.Wait()
	}
}

// isHeldBack reports whether all hosts hold the guilty part back. Near the threshold they may
// differ until the next crash.
func (f *crashFleet) isHeldBack() bool {
	for _, h := range f.hosts {
		if !strings.Contains(h.logs.String(), `"change":"held","key":"part:`+guiltyPart+`"`) {
			return false
		}
	}
	return true
}

// sendGuilty sends one more request with the guilty part to a host.
func (f *crashFleet) sendGuilty(h *host, id string) answer {
	r := h.request(f.t.Context(), http.MethodPost, "draft", id, []byte(id))
	(&standin.Call{ID: id, APIKey: apiKey, Timeout: callerTimeout, Events: shortGeneration}).SetHeaders(r)
	r.Header.Set(headers.PromptPrefix, "first:100,"+guiltyPart+":300,own:20")
	return send(r)
}

// BUDGET: a host that starts later, and all hosts after a loss of power, send the part again.
func TestHeldPartStaysHeldOverRestarts(t *testing.T) {
	t.Parallel()
	for name, restart := range map[string]func(*crashFleet){
		"new host": func(f *crashFleet) { f.startHost() },
		"all hosts": func(f *crashFleet) {
			require.Eventually(f.t, func() bool {
				_, err := f.store.Get(f.t.Context(), "corianderhitch/held-requests")
				return err == nil
			}, waitTimeout, checkInterval)
			for _, h := range f.hosts {
				h.stop()
			}
			for _, h := range f.hosts {
				err := <-h.done
				h.done <- err
			}
			for range 2 {
				f.startHost()
			}
		},
		"all hosts but one": func(f *crashFleet) {
			for _, h := range f.hosts[:2] {
				h.stop()
			}
			for range 2 {
				f.startHost()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 3, 6)
			f.holdGuiltyPart()()
			restart(f)
			time.Sleep(time.Second) // several syncs
			reached := len(f.reached(guiltyPart))
			for i, h := range f.hosts[3:] {
				a := f.sendGuilty(h, fmt.Sprint("later-", i))
				require.NoError(t, a.err)
				require.Equal(t, "crash_suspect\n", a.body)
			}
			require.Len(t, f.reached(guiltyPart), reached)
		})
	}
}

// BUDGET: hosts that have lost the store, or whose hubs are away, learn of the part as well.
func TestPartIsHeldBackWithoutStoreOrHub(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*crashFleet){
		"store": func(f *crashFleet) {
			for _, h := range f.hosts {
				h.store.setPartitioned(true)
			}
		},
		"hub": func(f *crashFleet) {
			var hosts []relay.Host
			for i := range f.hosts {
				hosts = append(hosts, relay.Host{Name: fmt.Sprint("host-", i)})
			}
			hub := slices.Index(hosts, relay.ChooseHubs(hosts)[0])
			f.hosts[hub].stop()
			f.hosts = slices.Delete(slices.Clone(f.hosts), hub, hub+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 4, 8)
			time.Sleep(2 * time.Second) // hosts learn of each other
			f.sound = nil
			disturb(f)
			stop := f.holdGuiltyPart()
			time.Sleep(contact + 2*time.Second)
			stop()
			f.requireBoundedSends(guiltyPart, f.set.Crashes())
		})
	}
}

// Two parts that crash engines are found at the same time, and the sound requests beside them
// are served as before.
func TestTwoPartsThatCrashEnginesAreHeldBack(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 3, 8)
	ctx, stop := context.WithCancel(t.Context())
	defer f.load.Wait()
	defer stop()
	began := time.Now()
	f.keepSending(ctx, 25*time.Millisecond, &f.sound, "sound", "draft", soundPrefix)
	time.Sleep(time.Second)
	guiltyFrom := time.Now()
	parts := []string{"guilty-a", "guilty-b"}
	for _, part := range parts {
		f.crashOn(part, standin.CrashReset)
	}
	for _, part := range parts {
		f.keepSending(ctx, 150*time.Millisecond, &f.guilty, part, "draft", guiltyPrefix(part))
	}
	time.Sleep(3 * contact)
	stop()
	f.load.Wait()
	byPart := make(map[string][]standin.Crash)
	for _, c := range f.set.Crashes() {
		for _, part := range parts {
			if strings.HasPrefix(c.Request, part) {
				byPart[part] = append(byPart[part], c)
			}
		}
	}
	for _, part := range parts {
		f.requireBoundedSends(part, byPart[part])
	}
	f.requireTrueRejections(guiltyFrom.Add(2 * contact))
	before, _ := servedShare(f.sound, began, guiltyFrom.Add(-500*time.Millisecond))
	after, n := servedShare(f.sound, guiltyFrom.Add(2*contact), time.Now())
	t.Logf("%d crashes; sound requests served: %.3f before, %.3f after (%d)", len(f.set.Crashes()), before, after, n)
	require.GreaterOrEqual(t, after, before)
}

// An operator sees what is held back and why, and releases it on all hosts.
func TestOperatorReleasesHeldPart(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 3, 6)
	f.holdGuiltyPart()()
	f.set.ForgetCrashes()
	run := func(args ...string) string {
		var stdout, stderr bytes.Buffer
		code := cli.Run(t.Context(), append(args, "--agent", f.hosts[2].peerAddress), &stdout, &stderr)
		require.Equal(t, cli.ExitOK, code, stderr.String())
		return stdout.String()
	}
	var listed string
	require.Eventually(t, func() bool {
		listed = run("quarantine", "list")
		return strings.Contains(listed, "part:"+guiltyPart)
	}, waitTimeout, 50*time.Millisecond)
	require.Contains(t, listed, f.set.Crashes()[0].Engine.ID)
	require.Contains(t, listed, "host-")
	require.Contains(t, run("quarantine", "release", "part:"+guiltyPart), "released")
	for i, h := range f.hosts {
		require.Eventually(t, func() bool {
			a := f.sendGuilty(h, fmt.Sprint("released-", i, "-", time.Now().UnixNano()))
			return a.err == nil && a.status == http.StatusOK
		}, waitTimeout, 50*time.Millisecond)
	}
	require.Contains(t, run("quarantine", "list"), "holds nothing back")
}

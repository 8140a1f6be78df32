package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

// hasReached reports whether a request reached an engine.
func (f *crashFleet) hasReached(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		for _, r := range e.Requests() {
			if r.Header.Get(headers.RequestID) == id {
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
		require.False(f.t, f.hasReached(s.id), "%s was told that it had not run", s.id)
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
	for name, mode := range map[string]standin.CrashMode{"reset": standin.CrashReset, "close": standin.CrashClose, "silence": standin.CrashSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 3, 6)
			ctx, stop := context.WithCancel(t.Context())
			defer f.load.Wait()
			defer stop()
			began := time.Now()
			f.keepSending(ctx, 30*time.Millisecond, &f.sound, "sound", "draft", soundPrefix)
			time.Sleep(1500 * time.Millisecond)
			f.crashOn(guiltyPart, mode)
			guiltyFrom := time.Now()
			f.keepSending(ctx, 110*time.Millisecond, &f.guilty, "guilty", "draft", guiltyPrefix(guiltyPart))

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

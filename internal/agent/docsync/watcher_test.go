package docsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
)

// fakeFleet holds what a Watcher offers.
type fakeFleet struct {
	mu        sync.Mutex
	holder    *Holder
	reachable bool
}

func (f *fakeFleet) Self() control.Member   { return control.Member{Host: "h1"} }
func (f *fakeFleet) Live() []control.Member { return []control.Member{{Host: "h1"}} }
func (f *fakeFleet) ApplyDocumentIfNewer(revision int64, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.holder.ApplyIfNewer(revision, content)
}
func (f *fakeFleet) SetStoreReachable(reachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable = reachable
}
func (f *fakeFleet) storeUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}
func (f *fakeFleet) revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder.Current().Revision
}

// deafSource is a Source whose watch never reports anything.
type deafSource struct {
	mu       sync.Mutex
	revision int64
	down     bool
	reads    int
}

func (s *deafSource) Read(context.Context) (int64, []byte, platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return 0, nil, 0, platform.ErrUnavailable
	}
	return s.revision, body(s.revision), 1, nil
}

func (s *deafSource) Wait(ctx context.Context, from platform.Revision) (bool, platform.Revision, error) {
	<-ctx.Done()
	return false, from, ctx.Err()
}

func (s *deafSource) set(revision int64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.down = revision, down
}

func (s *deafSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func body(revision int64) []byte {
	content, err := document.Encode(document.Document{Environment: "trial", Objectives: document.Objectives{StallTime: float64(revision)}})
	if err != nil {
		panic(err)
	}
	return content
}

func TestSilentlyLostWatchAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fakeFleet{holder: NewHolder("trial")}
		source := &deafSource{revision: 1}
		w := StartWatcher(logging.Discard(), source, fleet)
		defer w.Stop()
		synctest.Wait()
		require.Equal(t, int64(1), fleet.revision())
		source.set(2, false)
		time.Sleep(rereadAfter + time.Second)
		require.Equal(t, int64(2), fleet.revision(), "a lost watch costs at most one re-read")
		source.set(3, true)
		time.Sleep(time.Minute)
		require.False(t, fleet.storeUp())
		require.Equal(t, int64(2), fleet.revision())
		source.set(3, false)
		time.Sleep(retryAfter + time.Second)
		require.Equal(t, int64(3), fleet.revision())
		require.True(t, fleet.storeUp())
		require.Less(t, source.readCount(), 80, "the store is not flooded while it is down")
	})
}

func TestHolderNeverStepsBack(t *testing.T) {
	h := NewHolder("trial")
	for _, step := range []struct {
		revision int64
		inForce  bool
	}{{2, true}, {1, false}, {2, false}, {0, false}, {5, true}, {4, false}} {
		inForce, err := h.ApplyIfNewer(step.revision, body(step.revision))
		require.NoError(t, err)
		require.Equal(t, step.inForce, inForce, step.revision)
	}
	require.Equal(t, int64(5), h.Current().Revision)
	_, err := h.ApplyIfNewer(5, body(6))
	require.ErrorIs(t, err, ErrContentDiffers)
	_, err = h.ApplyIfNewer(6, []byte("{"))
	require.Error(t, err)
	require.ErrorIs(t, h.Check(5, 1), ErrContentDiffers)
	require.NoError(t, h.Check(4, 1))
	_, err = NewHolder("production").ApplyIfNewer(1, body(1))
	require.ErrorContains(t, err, "--environment")
}

func TestTwoHostsOfADomainWatch(t *testing.T) {
	var live []control.Member
	for i := range 30 {
		live = append(live, control.Member{Host: fmt.Sprint("h", i), Region: "r", Domain: fmt.Sprint("d", i%3)})
	}
	watchers := make(map[string]int)
	for _, m := range live {
		if IsWatcher(m, live) {
			watchers[m.Domain]++
		}
	}
	require.Equal(t, map[string]int{"d0": 2, "d1": 2, "d2": 2}, watchers)
}

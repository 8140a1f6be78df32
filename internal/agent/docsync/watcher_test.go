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

// fakeFleet records what a Watcher reports.
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
func (f *fakeFleet) storeReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}
func (f *fakeFleet) revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder.Current().Revision
}

// silentSource is a Source whose watch never reports a change.
type silentSource struct {
	mu          sync.Mutex
	revision    int64
	unavailable bool
	reads       int
}

func (s *silentSource) Read(context.Context) (int64, []byte, platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return 0, nil, 0, platform.ErrUnavailable
	}
	return s.revision, documentContent(s.revision), 1, nil
}

func (s *silentSource) Wait(ctx context.Context, from platform.Revision) (bool, platform.Revision, error) {
	<-ctx.Done()
	return false, from, ctx.Err()
}

func (s *silentSource) set(revision int64, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.unavailable = revision, unavailable
}

func (s *silentSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func documentContent(revision int64) []byte {
	content, err := document.Encode(document.Document{Environment: "trial", Objectives: document.Objectives{StallTime: float64(revision)}})
	if err != nil {
		panic(err)
	}
	return content
}

// A watch that stops reporting changes must not hide a new revision for longer than
// rereadInterval, and an outage of the store must not cause a flood of reads.
func TestWatcherRecoversFromSilentWatchAndStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &fakeFleet{holder: NewHolder("trial")}
		source := &silentSource{revision: 1}
		w := StartWatcher(logging.Discard(), source, fleet)
		defer w.Stop()
		synctest.Wait()
		require.Equal(t, int64(1), fleet.revision())
		source.set(2, false)
		time.Sleep(rereadInterval + time.Second)
		require.Equal(t, int64(2), fleet.revision(), "a silent watch delays a change by at most one re-read")
		source.set(3, true)
		time.Sleep(time.Minute)
		require.False(t, fleet.storeReachable())
		require.Equal(t, int64(2), fleet.revision())
		source.set(3, false)
		time.Sleep(retryDelay + time.Second)
		require.Equal(t, int64(3), fleet.revision())
		require.True(t, fleet.storeReachable())
		require.Less(t, source.readCount(), 80, "reads are rate limited while the store is unavailable")
	})
}

func TestHolderRejectsOlderRevisions(t *testing.T) {
	h := NewHolder("trial")
	for _, step := range []struct {
		revision int64
		inForce  bool
	}{{2, true}, {1, false}, {2, false}, {0, false}, {5, true}, {4, false}} {
		inForce, err := h.ApplyIfNewer(step.revision, documentContent(step.revision))
		require.NoError(t, err)
		require.Equal(t, step.inForce, inForce, step.revision)
	}
	require.Equal(t, int64(5), h.Current().Revision)
	_, err := h.ApplyIfNewer(5, documentContent(6))
	require.ErrorIs(t, err, ErrContentDiffers)
	_, err = h.ApplyIfNewer(6, []byte("{"))
	require.Error(t, err)
	require.ErrorIs(t, h.Check(5, 1), ErrContentDiffers)
	require.NoError(t, h.Check(4, 1))
	_, err = NewHolder("production").ApplyIfNewer(1, documentContent(1))
	require.ErrorContains(t, err, "--environment")
}

func TestTwoHostsPerFailureDomainWatch(t *testing.T) {
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

package targets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
)

// entry returns an entry of the list for an incarnation of the target "a".
func entry(startedAtMS int64, leaving bool) Change {
	return Change{Name: "a", Target: &Target{ID: "a", StartedAtMS: startedAtMS, Service: "s", Address: "127.0.0.1:1", Leaving: leaving}}
}

func list(c Change) map[string]Target { return map[string]Target{c.Name: *c.Target} }

// A target has stated that it leaves. No entry of its incarnation brings it back: an older or
// a newer one that calls it ready, one that reappears, a list of a store restored from a copy.
func TestStatedLeavingOutlastsTheList(t *testing.T) {
	for name, change := range map[string]func(r *Registry){
		"ready entry":              func(r *Registry) { r.Apply([]Change{entry(1, false)}, 2) },
		"draining, then ready":     func(r *Registry) { r.Apply([]Change{entry(1, true), entry(1, false)}, 2) },
		"removed, then ready":      func(r *Registry) { r.Apply([]Change{{Name: "a"}, entry(1, false)}, 2) },
		"unreadable, then ready":   func(r *Registry) { r.Apply([]Change{{Name: "a", Unreadable: true}, entry(1, false)}, 2) },
		"restarted, then restored": func(r *Registry) { r.Apply([]Change{entry(2, false), entry(1, false)}, 2) },
		"complete list":            func(r *Registry) { r.Replace(list(entry(1, false)), 2) },
		"empty list, then restored": func(r *Registry) {
			r.Replace(nil, 2)
			r.Replace(list(entry(1, false)), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			stated, notices := targetnotice.New(), 0
			r := New(stated, func(target Target, n LeavingNotice) {
				if target.StartedAtMS == 1 {
					notices++
					require.Equal(t, SourceAnswer, n.Source)
				}
			})
			r.Apply([]Change{entry(1, false)}, 1)
			require.Len(t, r.View().Available("s"), 1)
			stated.ObserveLeaving("a@1", bootclock.Now())
			r.MarkLeaving("a@1", SourceAnswer)
			require.Equal(t, []string{"a@1"}, r.AnnouncedLeaving(), "other hosts are told")
			change(r)
			require.Empty(t, r.View().Available("s"))
			require.Equal(t, 1, notices)
			_, leaving := r.LeavingNotice("a@1")
			require.True(t, leaving)
			r.Apply([]Change{entry(3, false)}, 3)
			require.Len(t, r.View().Available("s"), 1, "a restarted target starts clean")
		})
	}
}

// The answer came while the list did not have the target.
func TestStatementPrecedesEntry(t *testing.T) {
	stated := targetnotice.New()
	r := New(stated, func(Target, LeavingNotice) {})
	stated.ObserveLeaving("a@1", bootclock.Now())
	r.MarkLeaving("a@1", SourceAnswer)
	r.Apply([]Change{entry(1, false)}, 1)
	require.Empty(t, r.View().Available("s"))
}

// The notice outlasts the time after which others are forgotten, as long as the entry may
// return.
func TestStatedLeavingIsNotForgotten(t *testing.T) {
	stated := targetnotice.New()
	r := New(stated, func(Target, LeavingNotice) {})
	r.Apply([]Change{entry(1, false)}, 1)
	stated.ObserveLeaving("a@1", bootclock.Now())
	r.MarkLeaving("a@1", SourceAnswer)
	r.mu.Lock()
	n := r.notices["a@1"]
	n.ReceivedAt = n.ReceivedAt.Add(-2 * noticeRetention)
	r.notices["a@1"] = n
	r.mu.Unlock()
	r.Apply([]Change{{Name: "a"}}, 2)
	require.Nil(t, r.View().Get("a@1"), "the target itself is not kept for ever")
	r.Apply([]Change{entry(1, false)}, 3)
	require.Empty(t, r.View().Available("s"))
	_, leaving := r.LeavingNotice("a@1")
	require.True(t, leaving)
}

// A missing entry was the first sign; the answer confirms it before the entry returns.
func TestAnswerConfirmsRemoval(t *testing.T) {
	stated := targetnotice.New()
	r := New(stated, func(Target, LeavingNotice) {})
	r.Apply([]Change{entry(1, false), {Name: "a"}}, 1)
	require.Empty(t, r.AnnouncedLeaving())
	stated.ObserveLeaving("a@1", bootclock.Now())
	r.MarkLeaving("a@1", SourceAnswer)
	require.Equal(t, []string{"a@1"}, r.AnnouncedLeaving())
	r.Apply([]Change{entry(1, false)}, 2)
	require.Empty(t, r.View().Available("s"))
}

func TestPausedTargetsAreNotAvailable(t *testing.T) {
	const long, short = time.Minute, 30 * time.Second
	stated := targetnotice.New()
	r := New(stated, func(Target, LeavingNotice) {})
	r.Apply([]Change{readyEntry(1), readyEntry(2), readyEntry(3)}, 1)
	_, paused := r.View().Refusal("s")
	require.False(t, paused)
	now := bootclock.Now()
	stated.ObservePause("1@0", now, long, 0)
	require.Len(t, r.View().Available("s"), 2)
	require.Len(t, r.View().Serving("s"), 3)
	require.Equal(t, []string{"1@0"}, r.View().Refusing("s"))
	stated.ObservePause("2@0", now, short, 0)
	_, paused = r.View().Refusal("s")
	require.False(t, paused, "one target accepts requests")
	require.True(t, r.View().AcceptsWithin("s", 0, 0))
	r.MarkLeaving("3@0", "peer")
	require.False(t, r.View().AcceptsWithin("s", 0, 0))
	refusal, paused := r.View().Refusal("s")
	require.True(t, paused, "leaving targets don't count")
	require.InDelta(t, short.Seconds(), refusal.Left.Seconds(), 1)
	r.MarkLeaving("1@0", "peer")
	r.MarkLeaving("2@0", "peer")
	_, paused = r.View().Refusal("s")
	require.False(t, paused, "waiting for targets that leave is pointless")
}

func TestTargetOnTrialIsNotAvailable(t *testing.T) {
	stated := targetnotice.New()
	r := New(stated, func(Target, LeavingNotice) {})
	r.Apply([]Change{readyEntry(1), readyEntry(2)}, 1)
	now := bootclock.Now()
	stated.ObservePause("1@0", now.Add(-2*time.Second), time.Second, 0)
	require.Len(t, r.View().Available("s"), 2)
	_, trial := stated.Admit("1@0", targetnotice.Request, now, now.Add(5*time.Second)) // it must outlast this test
	require.NotNil(t, trial)
	require.Len(t, r.View().Available("s"), 1)
	require.Equal(t, []string{"1@0"}, r.View().Refusing("s"))
	require.Zero(t, r.View().Trials("s").Left, "another target accepts requests")
	r.MarkLeaving("2@0", "peer")
	trials := r.View().Trials("s")
	require.Positive(t, trials.Left)
	require.True(t, r.View().AcceptsWithin("s", 0, 0))
	require.Equal(t, 1, trials.Slots)
	refusal, paused := r.View().Refusal("s")
	require.True(t, paused)
	require.InDelta(t, trials.Left.Seconds(), refusal.Left.Seconds(), 1)
	stated.EndTrial(trial, true)
	<-trials.Ended
	require.Zero(t, r.View().Trials("s").Left)
	require.Len(t, r.View().Available("s"), 1)
}

func TestTargetsWhoseLimitIsUsedUp(t *testing.T) {
	stated := targetnotice.New()
	r := New(stated, func(Target, LeavingNotice) {})
	r.Apply([]Change{readyEntry(1), readyEntry(2)}, 1)
	now := bootclock.Now()
	for _, key := range []string{"1@0", "2@0"} {
		stated.ObserveLimit(key, now, targetnotice.Limit{Stated: true}) // the next permits come after seconds
		for range 2 {
			stated.Admit(key, targetnotice.Continuation, now, now)
		}
	}
	require.Empty(t, r.View().Available("s"))
	require.Equal(t, []string{"1@0", "2@0"}, r.View().Refusing("s"))
	refusal, refused := r.View().Refusal("s")
	require.True(t, refused)
	require.True(t, refusal.Limited)
	require.Positive(t, refusal.Left)
	require.True(t, r.View().AcceptsWithin("s", 0, refusal.Left+time.Second))
	require.False(t, r.View().AcceptsWithin("s", 0, refusal.Left/2))
	require.False(t, r.View().AcceptsWithin("s", 100, refusal.Left+time.Second), "others wait already")
	stated.ObserveLimit("2@0", now, targetnotice.Limit{})
	require.Len(t, r.View().Available("s"), 1)
	require.Len(t, r.View().Unlimited("s"), 1)
	require.True(t, r.View().TakesTurns("s"))
}

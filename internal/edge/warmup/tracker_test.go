package warmup

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
)

const (
	rate    = 20.0
	coldFor = 10 * time.Second
)

// alone returns the tracker of a fleet's only host, which has known that for a while, with its log.
func alone() (*Tracker, *bytes.Buffer) {
	log := &bytes.Buffer{}
	t := New(slog.New(slog.NewTextHandler(log, nil)), "host", node.ColdBound{Factor: 1.5, Slack: 5}, func(service string) (float64, time.Duration) {
		if service == "unbounded" {
			return 0, coldFor
		}
		return rate, coldFor
	})
	t.Refresh([]string{"host"}, start.Add(-time.Minute))
	return t, log
}

func after(d time.Duration) bootclock.Instant { return start.Add(d) }

// coldSources are what hosts learn of the target a@1, and for how long it is cold then.
var coldSources = map[string]struct {
	observe func(t *Tracker)
	until   time.Duration
}{
	"entry of a warm target":             {func(t *Tracker) { t.ObserveEntry("a@1", "s", 1, 0, start) }, 0},
	"entry":                              {func(t *Tracker) { t.ObserveEntry("a@1", "s", 1, 4*time.Second, start) }, 4 * time.Second},
	"entry beyond what the service says": {func(t *Tracker) { t.ObserveEntry("a@1", "s", 1, time.Hour, start) }, coldFor},
	"entry read twice": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 4*time.Second, start)
		t.ObserveEntry("a@1", "s", 1, 4*time.Second, after(time.Second))
	}, 4 * time.Second},
	"newer entry": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 4*time.Second, start)
		t.ObserveEntry("a@1", "s", 2, time.Second, start)
	}, time.Second},
	"cold again": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 0, after(-time.Second))
		t.ObserveEntry("a@1", "s", 2, 4*time.Second, start)
	}, 4 * time.Second},
	"answer": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 0, after(-time.Second))
		t.ObserveAnswer("a@1", 3*time.Second, start)
		t.ObserveEntry("a@1", "s", 2, 0, start) // written before
	}, 3 * time.Second},
	"answer that says less than the entry": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 4*time.Second, start)
		t.ObserveAnswer("a@1", 0, start)
	}, 4 * time.Second},
	"answer of a target that was": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 0, after(-time.Second))
		t.ObserveAnswer("a@1", 3*time.Second, after(-time.Second))
		t.ObserveAnswer("a@1", 0, start)
	}, 0},
	"other host": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 0, start)
		t.Merge([]Notice{{Incarnation: "a@1", Left: 2 * time.Second}, {Incarnation: "b@1", Left: time.Second}}, start)
	}, 2 * time.Second},
	"end of an evacuation": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 0, after(-time.Second))
		t.MarkCold("a@1", after(coldFor), 5, start)
		t.ObserveEntry("a@1", "s", 4, 0, start) // written before its end
	}, coldFor},
	"entry after the end of an evacuation": {func(t *Tracker) {
		t.ObserveEntry("a@1", "s", 1, 0, after(-time.Second))
		t.MarkCold("a@1", after(coldFor), 5, start)
		t.ObserveEntry("a@1", "s", 6, 2*time.Second, start)
	}, 2 * time.Second},
	"other incarnation":      {func(t *Tracker) { t.ObserveEntry("a@2", "s", 1, 4*time.Second, start) }, 0},
	"service without a rate": {func(t *Tracker) { t.ObserveEntry("a@1", "unbounded", 1, 4*time.Second, start) }, 0},
}

// A target that any source calls cold is sent no more than its rate.
func TestWhatMakesATargetCold(t *testing.T) {
	for name, c := range coldSources {
		t.Run(name, func(t *testing.T) {
			tracker, _ := alone()
			c.observe(tracker)
			if c.until > 0 {
				require.True(t, tracker.IsCold("a@1", after(c.until-time.Millisecond)))
			}
			require.False(t, tracker.IsCold("a@1", after(c.until)))
			require.True(t, tracker.Available("a@1", after(c.until)))
			require.True(t, tracker.Take("a@1", false, after(c.until)))
		})
	}
}

// A host without a list of hosts can't know its share.
func TestHostThatKnowsNoHostsSendsNothing(t *testing.T) {
	tracker := New(slog.New(slog.DiscardHandler), "host", node.ColdBound{Factor: 1.5, Slack: 5}, func(string) (float64, time.Duration) { return rate, coldFor })
	tracker.ObserveEntry("a@1", "s", 1, coldFor, start)
	for at := time.Duration(0); at < coldFor; at += 100 * time.Millisecond {
		tracker.Refresh(nil, after(at))
		require.False(t, tracker.Take("a@1", false, after(at)))
		left, perSecond := tracker.Left("a@1", false, after(at))
		require.Positive(t, left)
		require.Zero(t, perSecond)
	}
	require.True(t, tracker.Take("a@1", false, after(coldFor)))
}

// A target that becomes cold again was sent requests without a bound just before.
func TestPermitsBeginAnewWhenATargetBecomesColdAgain(t *testing.T) {
	tracker, _ := alone()
	tracker.ObserveEntry("a@1", "s", 1, 0, start)
	tracker.ObserveAnswer("a@1", 3*time.Second, after(5*time.Second))
	require.False(t, tracker.Take("a@1", false, after(5*time.Second)))
	left, perSecond := tracker.Left("a@1", false, after(5*time.Second))
	require.InDelta(t, rateUse*rate, perSecond, 1e-9)
	require.InDelta(t, 1/perSecond, left.Seconds(), 1e-6)
	require.True(t, tracker.Take("a@1", false, after(5*time.Second+left+time.Microsecond)))
}

// A run that continues is lost if requests, which may go elsewhere, take the permits before it.
func TestRunsThatContinueGoFirst(t *testing.T) {
	tracker, _ := alone()
	tracker.ObserveEntry("a@1", "s", 1, coldFor, start)
	now := after(time.Second)
	for tracker.Take("a@1", false, now) {
	}
	left, perSecond := tracker.Left("a@1", true, now)
	require.Positive(t, left)
	require.Positive(t, perSecond)
	now = now.Add(time.Duration(float64(time.Second)/perSecond) + time.Microsecond)
	require.False(t, tracker.Take("a@1", false, now))
	require.False(t, tracker.Available("a@1", now))
	require.True(t, tracker.Take("a@1", true, now))
	require.False(t, tracker.Take("a@1", true, now), "continuations count")
	now = now.Add(time.Duration(float64(time.Second)/perSecond) + time.Microsecond)
	require.True(t, tracker.Take("a@1", false, now), "no run waits")
	tracker.Left("a@1", true, now)
	require.False(t, tracker.Available("a@1", now.Add(keptForRuns-time.Millisecond)))
	require.True(t, tracker.Available("a@1", now.Add(keptForRuns)), "the run has given up")
}

// Other hosts hear of an answer for as long as several syncs take, and don't keep each other's
// notices alive.
func TestNoticesEnd(t *testing.T) {
	first, _ := alone()
	second, _ := alone()
	for _, tracker := range []*Tracker{first, second} {
		tracker.ObserveEntry("a@1", "s", 1, 0, start)
	}
	first.ObserveAnswer("a@1", time.Second, start)
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		second.Merge(first.Notices(after(at)), after(at))
		first.Merge(second.Notices(after(at)), after(at))
	}
	require.False(t, first.IsCold("a@1", after(1100*time.Millisecond)))
	require.False(t, second.IsCold("a@1", after(1100*time.Millisecond)))
	require.Empty(t, second.Notices(after(2*time.Second)))
}

// A target that becomes cold again while it is: the hub tells the others again, though it has known for
// longer than it tells them.
func TestHubTellsAgainOfATargetThatIsColdForLonger(t *testing.T) {
	hub, _ := alone()
	hub.ObserveEntry("a@1", "s", 1, 0, start)
	hub.Merge([]Notice{{Incarnation: "a@1", Left: 5 * time.Second}}, start)
	require.Empty(t, hub.Notices(after(toldFor+time.Millisecond)))
	hub.Merge([]Notice{{Incarnation: "a@1", Left: 10 * time.Second}}, after(4*time.Second))
	require.Equal(t, []Notice{{Incarnation: "a@1", Left: 10 * time.Second}}, hub.Notices(after(4*time.Second)))
}

func TestLinesAboutTurnsAreBounded(t *testing.T) {
	tracker, log := alone()
	for i := range 200 {
		tracker.ObserveEntry(fmt.Sprintf("a-%d@1", i), "s", 1, time.Second, start)
	}
	require.Equal(t, 200, tracker.Count())
	require.Equal(t, maxLines, strings.Count(log.String(), "target is cold"))
	tracker.Refresh([]string{"host"}, after(2*time.Second))
	require.Zero(t, tracker.Count())
	tracker.ObserveEntry("b@1", "s", 1, time.Second, after(logLinesSpan))
	require.Contains(t, log.String(), "lines=336")
	require.Contains(t, log.String(), "target=b@1")
}

// Nil stands for a deployment that bounds nothing.
func TestNoBound(t *testing.T) {
	var tracker *Tracker
	tracker.ObserveAnswer("a@1", time.Second, start)
	tracker.MarkCold("a@1", after(time.Second), 1, start)
	tracker.Merge([]Notice{{Incarnation: "a@1", Left: time.Second}}, start)
	require.Empty(t, tracker.Notices(start))
	require.Zero(t, tracker.Count())
	require.Zero(t, tracker.Lend(LoanArgs{Host: "b", Incarnation: "a@1"}, start))
	_, _, wanted := tracker.Wanted(start)
	require.False(t, wanted)
}

// A target turned warm and cold again before the host next looked at the time. What it was sent without a
// bound meanwhile may arrive in the same second as what had accrued.
func TestNothingAccruesWhileTheTargetIsWarm(t *testing.T) {
	tracker := New(slog.New(slog.DiscardHandler), "host", node.ColdBound{Factor: 1.5, Slack: 5}, func(string) (float64, time.Duration) { return 20, time.Minute })
	tracker.Refresh([]string{"host"}, start.Add(-time.Minute))
	tracker.ObserveEntry(incarnation, "s", 1, time.Second, start)
	now := start.Add(1100 * time.Millisecond)
	require.True(t, tracker.Take(incarnation, false, now), "not bounded")
	tracker.ObserveAnswer(incarnation, 5*time.Second, now)
	require.True(t, tracker.IsCold(incarnation, now))
	require.False(t, tracker.Take(incarnation, false, now))
}

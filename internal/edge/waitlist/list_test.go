package waitlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/targets"
)

const start = bootclock.Instant(time.Hour)

// room returns engines that have as many tokens of memory left as given.
func room(free ...int) []placement.Candidate {
	var out []placement.Candidate
	for i, f := range free {
		used := simPolicy.MemoryTokens - f
		out = append(out, placement.Candidate{Target: &targets.Target{ID: fmt.Sprint(i)}, Load: inflight.Load{Runs: 3, Tokens: used, Held: used}, FailureCost: 1})
	}
	return out
}

func short(id string, tokens int) Ask {
	return Ask{ID: id, Fingerprint: id, Tokens: tokens, Output: 9, Unread: tokens - 9, Objective: 1500 * ms, UsefulFor: 1100 * ms, TimeLeft: 6 * time.Second}
}

func long(id string) Ask {
	return Ask{ID: id, Fingerprint: id, Urgency: 2, Tokens: 3829, Output: 750, Unread: 3079, Objective: 4 * time.Second, UsefulFor: 3500 * ms, TimeLeft: 39 * time.Second}
}

func decide(l *List, after time.Duration, a Ask, engines []placement.Candidate) (int, Verdict) {
	return l.Decide(start.Add(after), &Request{Ask: a, Need: a.requirements(), Engine: simPolicy, Engines: engines})
}

// Guards against a run that takes the room of a more urgent one, and against room that is kept for
// a run whose host asks no more, since its caller left or the host crashed.
func TestRoomIsKeptForEntriesBeforeWhileTheirHostsAsk(t *testing.T) {
	l := New()
	i, _ := decide(l, 0, short("s", 4000), room(100))
	require.Equal(t, -1, i)
	i, v := decide(l, 100*ms, long("l"), room(7000))
	require.Equal(t, -1, i, "the room is the short run's")
	require.Equal(t, 1, v.Position)
	i, _ = decide(l, 100*ms, long("l"), room(13000))
	require.Equal(t, 0, i, "there is room for both")
	decide(l, 110*ms, long("m"), room(100))
	i, _ = decide(l, 400*ms, long("m"), room(7000))
	require.Equal(t, 0, i, "the short run's host has not asked for more than 250 ms")
}

// Guards against large prompts that never find enough room at one engine, and against a run that
// waits for an engine that has left.
func TestEngineIsKeptForLargeRunUntilItLeaves(t *testing.T) {
	l := New()
	for i := range 20 {
		decide(l, 0, short(fmt.Sprint(i), 1500), room(20000))
	}
	decide(l, 0, short("large", 6000), room(2500, 4000))
	other := func() Ask { a := short("other", 1500); a.Account = "b"; return a }
	i, _ := decide(l, 50*ms, other(), room(100, 4500))
	require.Equal(t, -1, i, "engine 1 is kept")
	decide(l, 100*ms, short("large", 6000), room(2500))
	i, _ = decide(l, 150*ms, other(), room(2500))
	require.Equal(t, -1, i, "engine 1 has left, engine 0 is kept")
	i, _ = decide(l, 160*ms, short("large", 6000), room(7000))
	require.Equal(t, 0, i)
}

// Guards against promises that are not kept, and against callers that gain by coming back sooner.
func TestCallerThatComesBackAsToldGoesFirst(t *testing.T) {
	for name, c := range map[string]struct {
		early bool
		want  Class
	}{"as told": {false, Due}, "too soon and then as told": {true, Newcomer}} {
		t.Run(name, func(t *testing.T) {
			l, again := New(), long("again")
			again.UsefulFor = 100 * ms
			decide(l, 0, again, room(100))
			_, v := decide(l, 50*ms, again, room(100))
			require.True(t, v.Rejected, "its next ask would be too late")
			back := long("again/2")
			back.Fingerprint = "again"
			at := 50*ms + v.RetryAfter
			if c.early {
				decide(l, 5*time.Second, long("first"), room(100))
				_, early := decide(l, 5*time.Second, back, room(100))
				require.True(t, early.Rejected)
				require.Equal(t, Early, early.Class)
			}
			decide(l, at, long("newcomer"), room(100))
			i, v := decide(l, at, back, room(100))
			require.Equal(t, c.want, v.Class)
			require.Equal(t, -1, i)
			if c.want == Due {
				i, _ = decide(l, at+10*ms, long("newcomer"), room(7000))
				require.Equal(t, -1, i)
				i, _ = decide(l, at+20*ms, back, room(7000))
				require.Equal(t, 0, i)
				require.EqualValues(t, 1, l.Stats(start.Add(at)).Kept)
			}
		})
	}
}

// Guards against a rejection while nothing else waits, for example because of memory that is kept
// for urgent runs that do not come.
func TestRunThatWaitsAloneIsNotRejectedAtOnce(t *testing.T) {
	l := New()
	for i := range 200 {
		decide(l, 0, short(fmt.Sprint(i), 3000), room(20000))
	}
	i, v := decide(l, 5*time.Second, long("l"), room(5500))
	require.Equal(t, -1, i, "memory is kept for the short runs")
	require.False(t, v.Rejected)
	a := long("l")
	a.UsefulFor = 1500 * ms
	i, _ = decide(l, 5100*ms, a, room(5500))
	require.Equal(t, 0, i)
}

// Guards against state that grows without bound under a flood of callers and accounts.
func TestStateIsBounded(t *testing.T) {
	l := New()
	decide(l, 0, long("first"), room(100))
	for i := range 3 * maxPromises {
		a := short(fmt.Sprint("s", i), 2000)
		a.Account, a.UsefulFor = fmt.Sprint(i), ms
		decide(l, 3*time.Second, a, room(100))
		decide(l, 3*time.Second, a, room(100)) // is rejected, since it is too late
	}
	require.LessOrEqual(t, len(l.promises.inOrder), maxPromises)
	require.LessOrEqual(t, len(l.services[""].accounts.byName), maxAccounts)
	decide(l, time.Hour, long("last"), room(100))
	require.Len(t, l.services[""].entries, 1)
	require.Empty(t, l.promises.byPrint)
	decide(l, time.Hour+refreshInterval, long("last"), room(100))
	require.Len(t, l.services[""].accounts.byName, 1)
}

// BenchmarkDecide measures an ask while 150 runs wait for 44 engines.
func BenchmarkDecide(b *testing.B) {
	for name, free := range map[string]int{"no room": 100, "room": 9000} {
		b.Run(name, func(b *testing.B) {
			l, free := New(), slicesOf(nEngines, free)
			engines := room(free...)
			for n := range b.N {
				a := long(fmt.Sprint(n % 150))
				a.Account, a.Again = fmt.Sprint(n%24), true // never rejected
				decide(l, time.Duration(n/10)*ms, a, engines)
			}
		})
	}
}

func slicesOf(n, value int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = value
	}
	return out
}

// Guards against callers that are rejected since others send the same request at the same time.
func TestFingerprintOfSeveralCallersKeepsNoneOut(t *testing.T) {
	l := New()
	same := func(id string) Ask {
		a := long(id)
		a.Fingerprint = "same"
		return a
	}
	late := same("a")
	late.UsefulFor = 100 * ms
	decide(l, 0, late, room(100))
	_, v := decide(l, 50*ms, late, room(100))
	require.True(t, v.Rejected)
	_, v = decide(l, 100*ms, same("b"), room(100))
	require.Equal(t, Early, v.Class, "it may be the first one's caller")
	late.ID = "c"
	_, v = decide(l, 110*ms, late, room(100))
	require.Equal(t, Newcomer, v.Class)
	_, v = decide(l, 160*ms, late, room(100))
	require.True(t, v.Rejected)
	_, v = decide(l, time.Second, same("d"), room(100))
	require.Equal(t, Newcomer, v.Class, "it may be anybody")
}

// Guards against a service that was quiet overnight: the weights of recent tokens overflowed after two
// hours, and no account counted as starved from then on.
func TestAccountsStayComparableAfterAQuietNight(t *testing.T) {
	l := New()
	decide(l, 0, short("first", 1500), room(20000))
	const later = 9 * time.Hour
	for i := range 200 {
		a := short(fmt.Sprint(i), 1500)
		if a.Account = "served"; i%2 == 0 {
			a.Account = "starved"
		}
		free := 20000
		if a.Account == "starved" {
			free = 100
		}
		decide(l, later+time.Duration(i)*10*ms, a, room(free))
	}
	accounts := l.services[""].accounts
	accounts.refresh(start.Add(later+3*time.Second), func(*account) bool { return false })
	require.True(t, accounts.byName["starved"].isStarved(0))
	require.False(t, accounts.byName["served"].isStarved(0))
}

// Guards against entries of runs that were placed a moment ago, which another run of their host still
// names: they kept room that nobody used, and made a promise look broken.
func TestRunThatWasPlacedDoesNotWaitAgain(t *testing.T) {
	l := New()
	placed, other := short("placed", 1500), short("other", 1500)
	i, _ := decide(l, 0, placed, room(20000))
	require.Equal(t, 0, i)
	i, v := l.Decide(start.Add(10*ms), &Request{Ask: other, Others: []Ask{placed}, Need: other.requirements(), Engine: simPolicy, Engines: room(100)})
	require.Equal(t, -1, i)
	require.Equal(t, 1, v.Entries)
	require.Zero(t, v.Position)
}

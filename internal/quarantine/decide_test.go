package quarantine

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/rendezvous"
)

// epoch is the instant at which the scenarios begin.
const epoch = time.Hour

// step is one report of a scenario, at a time after epoch.
type step struct {
	at       time.Duration
	target   string // that crashed; "" for a survival
	parts    []string
	survived bool
}

func crash(at time.Duration, target string, parts ...string) step {
	return step{at: at, target: target, parts: parts}
}

func survival(at time.Duration, parts ...string) step {
	return step{at: at, parts: parts, survived: true}
}

func keysOf(parts []string) []Key {
	var keys []Key
	for _, p := range parts {
		keys = append(keys, Part(p))
	}
	return keys
}

func heldNames(t *Tracker) []string {
	names := []string{}
	for _, h := range t.Holds() {
		names = append(names, h.Key.String())
	}
	return names
}

const ms = time.Millisecond

var decisions = map[string]struct {
	steps []step
	held  []string
}{
	"nothing before the fourth crash": {
		steps: []step{crash(0, "a", "g"), crash(300*ms, "b", "g"), crash(600*ms, "c", "g")},
	},
	"the fourth crash": {
		steps: []step{crash(0, "a", "g"), crash(300*ms, "b", "g"), crash(600*ms, "c", "g"), crash(900*ms, "d", "g")},
		held:  []string{"part:g"},
	},
	"one target that fails again and again is one crash": {
		steps: []step{crash(0, "a", "g"), crash(300*ms, "a", "g"), crash(600*ms, "a", "g"), crash(900*ms, "a", "g"), crash(1200*ms, "a", "g")},
	},
	"of parts that were in all requests the most specific": {
		steps: []step{crash(0, "a", "first", "account", "g"), crash(300*ms, "b", "first", "account", "g"), crash(600*ms, "c", "first", "account", "g"), crash(900*ms, "d", "first", "account", "g")},
		held:  []string{"part:g"},
	},
	"the guilty part comes first and a part that survives elsewhere last": {
		steps: []step{crash(0, "a", "g", "account"), crash(300*ms, "b", "g", "account"), survival(350*ms, "other", "account"), crash(600*ms, "c", "g", "account"), crash(900*ms, "d", "g", "account")},
		held:  []string{"part:g"},
	},
	"a part that was beside the guilty one four times is cleared by a crash without it": {
		steps: []step{crash(0, "a", "g", "beside"), crash(300*ms, "b", "g", "beside"), crash(600*ms, "c", "g", "beside"), crash(900*ms, "d", "g", "beside"), crash(1200*ms, "e", "g", "else")},
		held:  []string{"part:g"},
	},
	"a first part that everyone shares": {
		steps: []step{survival(0, "first"), crash(100*ms, "a", "first", "g"), survival(200*ms, "first"), crash(400*ms, "b", "first", "g"), crash(700*ms, "c", "first", "g"), crash(1000*ms, "d", "first", "g"), crash(1300*ms, "e", "first", "x")},
		held:  []string{"part:g"},
	},
	"two guilty parts": {
		steps: []step{
			survival(0, "first"),
			crash(100*ms, "a", "first", "g"), crash(400*ms, "b", "first", "h"), crash(700*ms, "c", "first", "g"), survival(750*ms, "first"), crash(1000*ms, "d", "first", "h"),
			crash(1300*ms, "e", "first", "g"), crash(1600*ms, "f", "first", "h"), crash(1900*ms, "i", "first", "g"), crash(2200*ms, "j", "first", "h"),
		},
		held: []string{"part:g", "part:h"},
	},
	"two guilty parts under a first part that has not been seen to survive": {
		steps: []step{
			crash(100*ms, "a", "first", "g"), crash(400*ms, "b", "first", "h"), crash(700*ms, "c", "first", "g"), crash(1000*ms, "d", "first", "h"),
			survival(1050*ms, "first"), crash(1300*ms, "e", "first", "g"), crash(1600*ms, "f", "first", "h"), crash(1900*ms, "i", "first", "g"), crash(2200*ms, "j", "first", "h"),
		},
		held: []string{"part:g", "part:h"},
	},
	"sound requests in the same batches": {
		steps: []step{
			crash(0, "a", "g"), crash(0, "a", "s"), crash(300*ms, "b", "g"), crash(310*ms, "b", "s"), crash(600*ms, "c", "g"), crash(610*ms, "c", "s"),
			crash(900*ms, "d", "g"), crash(910*ms, "d", "s"), crash(1200*ms, "e", "g"),
		},
		held: []string{"part:g"},
	},
	"a failure domain that ends at once": {
		steps: []step{crash(0, "a", "s"), crash(1*ms, "b", "s"), crash(2*ms, "c", "s"), crash(100*ms, "d", "s"), crash(200*ms, "e", "s"), crash(210*ms, "f", "s")},
	},
	"two failure domains that end one after the other": {
		steps: []step{crash(0, "a", "s"), crash(1*ms, "b", "s"), crash(2*ms, "c", "s"), crash(2000*ms, "d", "s"), crash(2001*ms, "e", "s"), crash(2002*ms, "f", "s")},
	},
	"targets that end for reasons of their own under a part that survives between": {
		steps: []step{crash(0, "a", "s"), survival(100*ms, "s"), crash(300*ms, "b", "s"), crash(600*ms, "c", "s"), survival(650*ms, "s"), crash(900*ms, "d", "s"), crash(1200*ms, "e", "s"), crash(1500*ms, "f", "s"), crash(1800*ms, "i", "s")},
	},
	"a part that survived before needs five": {
		steps: []step{survival(0, "g"), crash(100*ms, "a", "g"), crash(400*ms, "b", "g"), crash(700*ms, "c", "g"), crash(1000*ms, "d", "g")},
	},
	"a part that survived before is held back after five": {
		steps: []step{survival(0, "g"), crash(100*ms, "a", "g"), crash(400*ms, "b", "g"), crash(700*ms, "c", "g"), crash(1000*ms, "d", "g"), crash(1300*ms, "e", "g")},
		held:  []string{"part:g"},
	},
	"a part that survived on other targets while a domain ended slowly": {
		steps: []step{survival(0, "s"), crash(100*ms, "a", "s"), crash(300*ms, "b", "s"), crash(500*ms, "c", "s"), crash(700*ms, "d", "s"), crash(900*ms, "e", "s"), crash(1100*ms, "f", "s"), survival(1200*ms, "s")},
	},
	"a later survival": {
		steps: []step{crash(0, "a", "g"), crash(300*ms, "b", "g"), crash(600*ms, "c", "g"), crash(900*ms, "d", "g"), survival(950*ms, "g")},
	},
	"a survival that began before the crashes": {
		steps: []step{crash(100*ms, "a", "g"), crash(300*ms, "b", "g"), crash(600*ms, "c", "g"), crash(900*ms, "d", "g"), crash(1200*ms, "e", "g"), crash(1500*ms, "f", "g"), survival(50*ms, "g")},
		held:  []string{"part:g"},
	},
}

func TestWhatIsHeldBack(t *testing.T) {
	t.Parallel()
	for name, c := range decisions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := New("host", nil)
			now := epoch
			for _, s := range c.steps {
				at := epoch + s.at
				now = max(now, at)
				if s.survived {
					tracker.ReportSurvival(now, at, at, "sound-target", keysOf(s.parts))
				} else {
					tracker.ReportFailure(now, at, s.target, keysOf(s.parts))
				}
			}
			tracker.Check(now+settleTime, keysOf([]string{"any"}))
			if c.held == nil {
				c.held = []string{}
			}
			require.Equal(t, c.held, heldNames(tracker))
		})
	}
}

// The delays of messages shift crashes against each other, so that a host may count fewer moments.
func TestHostHoldsBackWhatAnotherHostCountedMomentsOf(t *testing.T) {
	fewMoments := []step{crash(0, "a", "g"), crash(60*ms, "b", "g"), crash(249*ms, "c", "g"), crash(310*ms, "d", "g")}
	for name, c := range map[string]struct {
		crashes  []step
		told     time.Duration
		survived time.Duration // 0 for never
		held     []string
	}{
		"told after the crashes":   {crashes: fewMoments, told: 320 * ms, held: []string{"part:g"}},
		"told before the last one": {crashes: fewMoments, told: 300 * ms, held: []string{"part:g"}},
		"too few crashes":          {crashes: fewMoments[:3], told: 320 * ms, held: []string{}},
		"survived since":           {crashes: fewMoments, told: 320 * ms, survived: 400 * ms, held: []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New("h", nil)
			for _, s := range c.crashes {
				tracker.ReportFailure(epoch+s.at, epoch+s.at, s.target, keysOf(s.parts))
			}
			require.Empty(t, heldNames(tracker))
			now := epoch + time.Second
			tracker.ReportHeld(now, epoch+c.told, Part("g"))
			if c.survived > 0 {
				tracker.ReportSurvival(now, epoch+c.survived, epoch+c.survived, "e", keysOf([]string{"g"}))
				for i := range 5 { // a failure domain that ends at once
					tracker.ReportFailure(now, now, fmt.Sprint("later-", i), keysOf([]string{"g"}))
				}
				tracker.Check(now+time.Minute, keysOf([]string{"g"}))
			}
			require.Equal(t, c.held, heldNames(tracker))
		})
	}
}

func TestKeysThatOthersHoldAreBounded(t *testing.T) {
	tracker := New("h", nil)
	for i := range 2 * maxTold {
		tracker.ReportHeld(epoch, epoch, Part(fmt.Sprint(i)))
	}
	require.Len(t, tracker.told, maxTold)
	later := epoch + evidenceLifetime + time.Second
	tracker.ReportHeld(later, later, Part("g"))
	require.Len(t, tracker.told, 1)
}

// Each host completes the case by the crashes that the others saw; one of them must store it.
func TestCaseCompletedByOthersEvidenceIsOwnOfAHost(t *testing.T) {
	var own []string
	trackers := make(map[string]*Tracker)
	for _, host := range []string{"a", "b", "c"} {
		trackers[host] = New(host, func(c Change) {
			if c.Kind == Held && c.Own {
				own = append(own, host)
			}
		})
	}
	crashes := []struct {
		host, target string
		at           time.Duration
	}{{"a", "e-1", 0}, {"b", "e-2", 300 * ms}, {"c", "e-3", 600 * ms}, {"a", "e-4", 900 * ms}}
	for _, c := range crashes {
		trackers[c.host].ReportFailure(epoch+c.at, epoch+c.at, c.target, keysOf([]string{"g"}))
	}
	now := epoch + time.Second
	told := make(map[string]Evidence)
	for host, tracker := range trackers {
		told[host], _ = tracker.Since(now, 0)
	}
	trackers["observer"] = New("observer", func(c Change) { require.False(t, c.Own) })
	for host, tracker := range trackers {
		for from, evidence := range told {
			if from != host {
				tracker.Merge(now, evidence)
			}
		}
		require.Equal(t, []string{"part:g"}, heldNames(tracker), host)
	}
	require.ElementsMatch(t, []string{"a", "b", "c"}, own)
}

func TestTargetThatAnswersLaterHasNotCrashed(t *testing.T) {
	t.Parallel()
	tracker := New("host", nil)
	for i, target := range []string{"a", "b", "c", "d"} {
		at := epoch + time.Duration(i)*300*ms
		tracker.ReportFailure(at, at, target, keysOf([]string{"s"}))
	}
	require.Equal(t, []string{"part:s"}, heldNames(tracker))
	tracker.ReportSurvival(epoch+3*time.Second, epoch+100*ms, epoch+100*ms, "b", keysOf([]string{"x"})) // sent before b failed
	require.Equal(t, []string{"part:s"}, heldNames(tracker))
	tracker.ReportSurvival(epoch+3*time.Second, epoch+2*time.Second, epoch+2*time.Second, "b", keysOf([]string{"x"}))
	require.Empty(t, heldNames(tracker))
}

func TestRequestThatIsRepeatedIsHeldBackAfterThreeCrashes(t *testing.T) {
	t.Parallel()
	tracker := New("host", nil)
	key := Request("GET", "example", "/x", "account", "body")
	require.NotEqual(t, key, Request("GET", "example", "/xa", "ccount", "body"))
	for i, target := range []string{"a", "b"} {
		at := epoch + time.Duration(i)*300*ms
		tracker.ReportFailure(at, at, target, []Key{key})
		require.Nil(t, tracker.Check(at, []Key{key}))
	}
	at := epoch + 600*ms
	tracker.ReportFailure(at, at, "c", []Key{key})
	require.NotNil(t, tracker.Check(at, []Key{key}))
	require.Nil(t, tracker.Check(at, []Key{Request("GET", "example", "/y", "account", "body")}))
}

// holdPart makes a tracker hold back the part g and returns the instant of the last crash.
func holdPart(t *testing.T, tracker *Tracker) Instant {
	t.Helper()
	at := epoch
	for i := range partCrashes {
		at = epoch + time.Duration(i)*300*ms
		tracker.ReportFailure(at, at, fmt.Sprint("t-", i), keysOf([]string{"beside", "g"}))
	}
	require.Equal(t, []string{"part:g"}, heldNames(tracker))
	return at
}

func TestHoldEndsOnProbation(t *testing.T) {
	t.Parallel()
	var changes []string
	tracker := New("host", func(c Change) { changes = append(changes, c.Kind.String()+" "+c.Hold.Key.String()) })
	last := holdPart(t, tracker)
	g := keysOf([]string{"x", "g"})
	hold := tracker.Check(last, g)
	require.NotNil(t, hold)
	require.Equal(t, last+firstHoldTime, hold.Until)
	require.GreaterOrEqual(t, tracker.RetryAfter(last, hold), firstHoldTime)
	require.NotNil(t, tracker.Check(hold.Until-1, g))

	over := hold.Until
	require.Nil(t, tracker.Admit(over, g))
	require.NotNil(t, tracker.Admit(over+1, g), "one request at a time")
	tracker.ReportFailure(over+100*ms, over+100*ms, "t-9", g)
	require.Equal(t, over+100*ms+holdGrowth*firstHoldTime, tracker.Check(over+200*ms, g).Until)

	over += 100*ms + holdGrowth*firstHoldTime
	require.Nil(t, tracker.Admit(over, g))
	tracker.ReportSurvival(over+time.Second, over, over+100*ms, "t-10", g)
	for range 3 {
		require.Nil(t, tracker.Admit(over+time.Second, g))
	}
	require.Equal(t, []string{"held part:g", "expired part:g", "held part:g", "expired part:g", "cleared part:g"}, changes)
}

func TestForgottenCrashesHoldNothingBack(t *testing.T) {
	t.Parallel()
	tracker := New("host", nil)
	last := holdPart(t, tracker)
	require.Nil(t, tracker.Check(last+evidenceLifetime+time.Second, keysOf([]string{"g"})))
	require.Empty(t, heldNames(tracker))
}

func TestReleasedKeyBlamesNoOther(t *testing.T) {
	t.Parallel()
	var changes []string
	tracker := New("host", func(c Change) { changes = append(changes, c.Kind.String()+" "+c.Hold.Key.String()) })
	last := holdPart(t, tracker)
	other := New("other", nil)
	e, _ := tracker.Since(last, 0)
	other.Merge(last, e)
	require.Equal(t, []string{"part:g"}, heldNames(other))

	require.False(t, tracker.Release(last, Part("unknown")))
	before := tracker.Seq()
	require.True(t, tracker.Release(last+time.Second, Part("g")))
	require.Empty(t, heldNames(tracker))
	require.Equal(t, []string{"held part:g", "released part:g"}, changes)
	e, _ = tracker.Since(last+time.Second, before)
	other.Merge(last+time.Second, e)
	require.Empty(t, heldNames(other))
}

func TestMemoryIsBoundedIfEachRequestBringsNewParts(t *testing.T) {
	t.Parallel()
	tracker := New("host", nil)
	last := holdPart(t, tracker)
	for i := range 3 * maxFailures {
		now := last + time.Duration(i)*ms
		parts := keysOf([]string{fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)})
		tracker.ReportFailure(now, now, fmt.Sprint("target-", i/2), parts)
		tracker.ReportSurvival(now, now, now, fmt.Sprint("sound-", i), keysOf([]string{fmt.Sprint("d", i), fmt.Sprint("e", i)}))
		tracker.ReportSurvival(now, now, now, fmt.Sprint("sound-", i), parts)
	}
	require.LessOrEqual(t, len(tracker.failures), maxFailures)
	require.LessOrEqual(t, len(tracker.known), maxFailures)
	require.LessOrEqual(t, len(tracker.shared), maxShared)
	require.LessOrEqual(t, tracker.seen.len(), maxSurvivals)
	require.Equal(t, []string{"part:g"}, heldNames(tracker), "what is held back is dropped last")
	long := Part(string(make([]byte, 4000)))
	require.LessOrEqual(t, len(long.ID), maxIDBytes)
}

func TestKeysAreParsed(t *testing.T) {
	t.Parallel()
	for _, key := range []Key{Part("a:b"), Request("x")} {
		parsed, err := ParseKey(key.String())
		require.NoError(t, err)
		require.Equal(t, key, parsed)
	}
	for _, text := range []string{"", "part:", "target:x", "a"} {
		_, err := ParseKey(text)
		require.Error(t, err, text)
	}
}

// A first part that everyone shares was held back for a second while a failure domain ended
// slowly, since streams report their survival a second after their first event.
func TestSurvivalOfStreamsIsAwaited(t *testing.T) {
	t.Parallel()
	var changes []string
	tracker := New("host", func(c Change) { changes = append(changes, c.Kind.String()+" "+c.Hold.Key.String()) })
	tracker.ReportSurvival(epoch, epoch, epoch, "sound", keysOf([]string{"first"}))
	for i := range 8 {
		at := epoch + time.Duration(i)*150*ms
		tracker.ReportFailure(at, at, fmt.Sprint("t-", i), keysOf([]string{"first", fmt.Sprint("subject-", i)}))
	}
	began := epoch + 1100*ms
	tracker.ReportSurvival(began+1100*ms, began, began, "sound", keysOf([]string{"first"}))
	require.Nil(t, tracker.Check(epoch+10*time.Second, keysOf([]string{"first"})))
	require.Empty(t, changes)
}

// All hosts let a request through when a hold ended: each crashed a target.
func TestHostsTakeTurnsOnProbation(t *testing.T) {
	t.Parallel()
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprint("host-", i))
	}
	hosts := make(map[string]*Tracker)
	for _, name := range names {
		hosts[name] = New(name, nil)
		hosts[name].Hosts = func() []string { return names }
	}
	last := holdPart(t, hosts["host-7"])
	e, _ := hosts["host-7"].Since(last, 0)
	for _, h := range hosts {
		h.Merge(last, e)
	}
	key, over := Part("g"), last+firstHoldTime
	ranked := rendezvous.Ranked(key.String(), names)
	admitted := make(map[string]Instant)
	for at := last; at < over+probationTurns*probationTurn; at += time.Second {
		for name, h := range hosts {
			if admitted[name] == 0 && h.Admit(at, []Key{key}) == nil {
				admitted[name] = at
			}
		}
	}
	require.Len(t, admitted, probationTurns, "the others are not needed")
	for turn, name := range ranked[:probationTurns] {
		require.GreaterOrEqual(t, admitted[name], over+time.Duration(turn)*probationTurn)
		require.Less(t, admitted[name], over+time.Duration(turn)*probationTurn+time.Second)
	}
	for _, name := range ranked[probationTurns:] {
		require.Nil(t, hosts[name].Admit(over+probationTurns*probationTurn+probationSpread, []Key{key}), "all other hosts may be gone")
	}
}

func TestRequestsThatCrashAllTargetsAtOneMoment(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		survivedBefore bool
		doubtful       bool
		apart          time.Duration
		targets        []string
		held           bool
	}{
		"two targets":                                       {targets: []string{"a", "b"}},
		"three targets":                                     {targets: []string{"a", "b", "c"}, held: true},
		"three targets of a sound request":                  {survivedBefore: true, targets: []string{"a", "b", "c"}},
		"a whole domain of a sound request":                 {survivedBefore: true, targets: []string{"a", "b", "c", "d", "e"}},
		"three targets whose connections are reset at once": {doubtful: true, targets: []string{"a", "b", "c"}},
		"the same at two moments":                           {doubtful: true, apart: momentLength, targets: []string{"a", "b", "c"}, held: true},
		"one target that fails three times":                 {targets: []string{"a", "a", "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker, key := New("host", nil), Request("GET", "/check")
			if c.survivedBefore {
				tracker.ReportSurvival(epoch-time.Minute, epoch-time.Minute, epoch-time.Minute, "a", []Key{key})
			}
			for i, target := range c.targets {
				at, report := epoch+time.Duration(i)*(20*ms+c.apart), tracker.ReportFailure
				if c.doubtful {
					report = tracker.ReportDoubtfulFailure
				}
				report(at, at, target, []Key{key})
			}
			require.Equal(t, c.held, tracker.Check(epoch+2*settleTime, []Key{key}) != nil)
		})
	}
}

// Evidence comes from other hosts and from the store, where others may write too.
func TestImpossibleEvidenceIsIgnored(t *testing.T) {
	t.Parallel()
	g := keysOf([]string{"g"})
	for name, e := range map[string]Evidence{
		"a survival of the future":       {Survivals: []Survival{{Key: g[0], Age: math.MinInt64}}},
		"a survival of any age":          {Survivals: []Survival{{Key: g[0], Age: math.MaxInt64}}},
		"a survival of no kind":          {Survivals: []Survival{{Key: Key{Kind: 9, ID: "g"}}}},
		"a long key":                     {Survivals: []Survival{{Key: Key{Kind: KindPart, ID: strings.Repeat("g", 1<<20)}}}},
		"failures of the future":         {Failures: []Failure{{Incarnation: "t-9", Host: "h", Keys: g, Age: -time.Hour}}},
		"a failure of any age":           {Failures: []Failure{{Incarnation: "t-9", Host: "h", Keys: g, Age: math.MaxInt64}}},
		"a failure without a target":     {Failures: []Failure{{Host: "h", Keys: g}}},
		"a failure under a target's key": {Failures: []Failure{{Incarnation: "t-9", Host: "h", Keys: []Key{targetKey("t-1")}}}},
		"many keys":                      {Failures: []Failure{{Incarnation: "t-9", Host: "h", Keys: slices.Repeat(g, 10_000)}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := New("host", nil)
			last := holdPart(t, tracker)
			seq := tracker.Seq()
			require.False(t, tracker.Merge(last+ms, e))
			require.Equal(t, []string{"part:g"}, heldNames(tracker))
			require.Equal(t, seq, tracker.Seq())
		})
	}
}

// Two hosts may see one end, only one of them without doubt.
func TestFailureIsCertainOnceOneHostIsCertain(t *testing.T) {
	t.Parallel()
	a, b, key := New("a", nil), New("b", nil), []Key{Request("GET", "/check")}
	for _, target := range []string{"t-1", "t-2", "t-3"} {
		a.ReportDoubtfulFailure(epoch, epoch, target, key)
		b.ReportFailure(epoch, epoch, target, key)
	}
	require.Nil(t, a.Check(epoch, key))
	e, seen := b.Since(epoch, 0)
	require.True(t, a.Merge(epoch, e))
	require.NotNil(t, a.Check(epoch, key))
	require.False(t, a.Merge(epoch, e))
	told, _ := a.Since(epoch, 0)
	require.False(t, b.Merge(epoch, told))
	require.Equal(t, seen, b.Seq())
}

package suspicion

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
)

// Prefixes of prompts that begin with a part that all share.
const (
	firstPart = 1
	annexPart = 2
	otherPart = 3
	ownPart   = 1000 // and more
)

// crashesToHold is how many targets must crash under a prefix.
const crashesToHold = 4

// partCrash is the crash of a target under the i-th request with the annex.
func partCrash(i int) control.Event {
	return control.Event{
		Kind: control.EventCrash, Target: fmt.Sprint("e", i), Fingerprint: uint64(100 + i),
		Prefixes: []uint64{firstPart, annexPart, uint64(ownPart + i)},
	}
}

func moment(i int) time.Time { return start.Add(time.Duration(i) * 3 * time.Second) }

func TestPartOfUnlikePromptsIsHeldAfterFewCrashes(t *testing.T) {
	tracker := &FleetTracker{Host: "h"}
	for i := range crashesToHold {
		require.Nil(t, tracker.Held(moment(i), []uint64{firstPart, annexPart, 5}, true), "crash %d", i)
		require.Zero(t, tracker.Holds())
		for range 3 { // gateways that report the crash
			tracker.Add(moment(i), partCrash(i))
		}
	}
	now := moment(crashesToHold)
	require.EqualValues(t, 1, tracker.Holds())
	held := tracker.Held(now, []uint64{firstPart, annexPart, 6}, true)
	require.NotNil(t, held)
	require.Equal(t, "2", held.Prefix)
	require.Equal(t, crashesToHold, held.Crashes)
	require.Positive(t, held.RetryAfter)
	require.Nil(t, tracker.Held(now, []uint64{firstPart, otherPart, 7}, true), "shares the first part only")
	require.Nil(t, tracker.Held(now, nil, true))
}

func TestCrashesAfterTheFirstTokenOrAtOneMomentHoldNothing(t *testing.T) {
	late, together := &FleetTracker{}, &FleetTracker{}
	for i := range 3 * crashesToHold {
		e := partCrash(i)
		together.Add(start, e)
		e.Produced = 1
		late.Add(moment(i), e)
	}
	require.Nil(t, late.Held(moment(12), []uint64{annexPart}, true))
	require.Nil(t, together.Held(moment(12), []uint64{annexPart}, true), "a failure domain that ends at once")
}

func TestAnswersBetweenCrashesOfOtherCausesClearTheirParts(t *testing.T) {
	owner, other := &FleetTracker{Host: "owner"}, &FleetTracker{Host: "other"}
	for i := range 5 * crashesToHold {
		at := moment(i)
		for _, tracker := range []*FleetTracker{owner, other} {
			tracker.Add(at, partCrash(i))
			require.Nil(t, tracker.Held(at, []uint64{firstPart, annexPart}, true), "crash %d", i)
		}
		answered := owner.RecordAnswer(at.Add(2*time.Second), at.Add(time.Second), []uint64{firstPart, annexPart, 9})
		require.Equal(t, []uint64{firstPart, annexPart}, answered)
		require.Nil(t, owner.RecordAnswer(at.Add(2*time.Second), at.Add(time.Second), []uint64{firstPart, annexPart, 9}), "others know it")
		other.Add(at.Add(2*time.Second), control.Event{Kind: control.EventCleared, Prefixes: answered, Since: time.Second})
	}
}

func TestAnswerThatBeganBeforeTheCrashesTakesNoneBack(t *testing.T) {
	const extra = 2 // for a part that was answered lately
	tracker := &FleetTracker{}
	for i := range crashesToHold + extra {
		tracker.Add(moment(i), partCrash(i))
		tracker.RecordAnswer(moment(i), start.Add(-time.Second), []uint64{firstPart, annexPart})
	}
	require.NotNil(t, tracker.Held(moment(crashesToHold+extra), []uint64{firstPart, annexPart}, true))
}

// firstHold is for how long after the last crash a part is held back at first.
const firstHold = 15 * time.Second

func TestReleasedPartIsHeldAgainOnlyAfterNewCrashes(t *testing.T) {
	tracker := &FleetTracker{}
	require.Empty(t, tracker.HeldPrefixes(start))
	for i := range crashesToHold {
		tracker.Add(moment(i), partCrash(i))
	}
	now := moment(crashesToHold)
	list := tracker.HeldPrefixes(now)
	require.Len(t, list, 1)
	require.Equal(t, "2", list[0].Prefix)
	require.Equal(t, []string{"e0", "e1", "e2", "e3"}, list[0].Targets)
	require.Equal(t, firstHold-3*time.Second, list[0].For)
	tracker.Add(now, control.Event{ID: "r", Kind: control.EventReleased, Prefixes: []uint64{annexPart}})
	require.Empty(t, tracker.HeldPrefixes(now), "nor is the first part blamed instead")
	require.Nil(t, tracker.Held(now, []uint64{firstPart, annexPart}, true))
	for i := range 2 * crashesToHold {
		tracker.Add(moment(crashesToHold+1+i), partCrash(crashesToHold+i))
	}
	require.NotEmpty(t, tracker.HeldPrefixes(moment(3*crashesToHold)))
}

func TestRepairedCrashesHoldTheirPart(t *testing.T) {
	for _, age := range []time.Duration{10 * time.Second, 20 * time.Minute} {
		tracker := &FleetTracker{}
		for i := range crashesToHold {
			e := partCrash(i)
			e.Age = age - time.Duration(i)*time.Second
			tracker.Add(start, e)
		}
		require.EqualValues(t, 1, tracker.Holds(), age)
		held := tracker.Held(start, []uint64{annexPart}, false)
		require.Equal(t, age < firstHold, held != nil, "the first hold lasts 15 s from the last crash")
	}
}

func TestHostsThatCountMomentsDifferentlyHoldTheSamePart(t *testing.T) {
	one, other := &FleetTracker{Host: "one"}, &FleetTracker{Host: "other"}
	for i, at := range []time.Duration{0, 62 * time.Millisecond, 250 * time.Millisecond, 312 * time.Millisecond, 501 * time.Millisecond} {
		one.Add(start.Add(at), partCrash(i))
		if i > 0 {
			at -= 2 * time.Millisecond
		}
		other.Add(start.Add(at), partCrash(i))
	}
	now := start.Add(time.Second)
	require.Len(t, one.HeldPrefixes(now), 1)
	require.Empty(t, other.HeldPrefixes(now))
	require.Empty(t, other.TakeNewHolds())
	told := one.TakeNewHolds()
	require.Equal(t, []uint64{annexPart}, told)
	require.Empty(t, one.TakeNewHolds())
	other.Add(now, control.Event{ID: "h", Kind: control.EventHeld, Prefixes: told, Age: 400 * time.Millisecond})
	require.Len(t, other.HeldPrefixes(now), 1)
	require.Empty(t, other.TakeNewHolds(), "the fleet knows already")
}

func TestSuspectPrefixesAreBounded(t *testing.T) {
	tracker := &FleetTracker{}
	for i := range maxCrashedTargets + 10 {
		tracker.Add(moment(i), partCrash(i))
	}
	require.Len(t, tracker.parts.crashes, maxCrashedTargets)
	now := moment(maxCrashedTargets + 10)
	for i := range uint64(maxSuspectPrefixes) {
		tracker.parts.suspects[ownPart+i] = start
	}
	tracker.Add(now, control.Event{Kind: control.EventCrash, Target: "x", Fingerprint: 1, Prefixes: []uint64{1 << 40}})
	require.LessOrEqual(t, len(tracker.parts.suspects), maxSuspectPrefixes+ownPart)
	tracker.Add(start.Add(time.Hour), control.Event{Kind: control.EventCrash, Target: "y", Fingerprint: 1, Prefixes: []uint64{1 << 41}})
	require.Less(t, len(tracker.parts.suspects), maxSuspectPrefixes, "expired ones go first")
	require.Contains(t, tracker.parts.suspects, uint64(1<<41))
}

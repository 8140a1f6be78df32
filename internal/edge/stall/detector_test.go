package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func TestSignalSentDuringAStallIsTakenToBeAsOldAsTheStall(t *testing.T) {
	const beat = 100 * time.Millisecond
	for name, c := range map[string]struct {
		stall  time.Duration // after a second of beats; followed by beats again
		beats  int           // between the stall and the signal
		handle time.Duration // from the last beat to the signal
		want   time.Duration // how old the signal may be
	}{
		"no stall":                             {handle: 50 * time.Millisecond, want: 0},
		"handled before the first beat":        {handle: 2 * time.Second, want: 2 * time.Second},
		"handled after the first beat":         {stall: 2 * time.Second, beats: 1, handle: 10 * time.Millisecond, want: 2010 * time.Millisecond},
		"handled some beats later":             {stall: 2 * time.Second, beats: 3, handle: 0, want: 2200 * time.Millisecond},
		"sent after the stall":                 {stall: 2 * time.Second, beats: 6, handle: 0, want: 0},
		"a beat that comes late is no stall":   {stall: 300 * time.Millisecond, beats: 1, handle: 0, want: 0},
		"a process without beats is not stale": {stall: -1, handle: time.Second, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			var d Detector
			now := bootclock.Instant(time.Hour)
			if c.stall >= 0 {
				for range 10 {
					now = now.Add(beat)
					d.Beat(now)
				}
			}
			for n := range c.beats {
				if n == 0 {
					now = now.Add(c.stall - beat)
				}
				now = now.Add(beat)
				d.Beat(now)
			}
			now = now.Add(c.handle)
			require.Equal(t, c.want, now.Sub(d.Earliest(now)))
		})
	}
}

func TestTimesAroundAStallAreAffected(t *testing.T) {
	var d Detector
	start := bootclock.Instant(time.Hour)
	at := func(ms int) bootclock.Instant { return start.Add(time.Duration(ms) * time.Millisecond) }
	d.Beat(at(0))
	require.False(t, d.Affected(at(0), at(300)))
	require.True(t, d.Affected(at(0), at(1500)), "the stall still lasts")
	d.Beat(at(1500))
	d.Beat(at(1600))
	require.True(t, d.Affected(at(-500), at(1650)), "began before the stall")
	require.True(t, d.Affected(at(1700), at(1700)), "right after the stall")
	d.Beat(at(1950))
	require.False(t, d.Affected(at(2000), at(2000)))
}

package targetspeed

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// trackers returns trackers of a fleet whose clock the test advances.
func trackers(n int, now *bootclock.Instant) []*Tracker {
	services := []Service{{Name: "p"}}
	for i := range 4 {
		services[0].Targets = append(services[0].Targets, fmt.Sprint(i))
	}
	*now = bootclock.Instant(time.Hour)
	var all []*Tracker
	for range n {
		t := New(func() []Service { return services }, nil)
		t.now = func() bootclock.Instant { return *now }
		all = append(all, t)
	}
	return all
}

// Hosts that each send a target less than one call a second learn through the hub that it is slow, get
// nothing as long as nothing changes, and learn of its recovery. A hub that starts again replaces all.
func TestHostsShareWhatTheyObserve(t *testing.T) {
	var now bootclock.Instant
	all := trackers(78, &now)
	hub, hosts := all[0], all[1:]
	slow, told := 60*time.Millisecond, 0
	run := func(d time.Duration) {
		told = 0
		for end := now.Add(d); now < end; now = now.Add(400 * time.Millisecond) {
			for i, h := range hosts {
				took := 20 * time.Millisecond
				if i%4 == 2 {
					took = slow
				}
				h.RecordCall(fmt.Sprint(i%4), 0, 6, took)
				f := hub.Merge(h.Report(), true)
				told += len(f.Changed)
				h.Apply(f)
			}
		}
	}
	run(4 * time.Second)
	for _, h := range hosts {
		require.InDelta(t, 3, h.Slowness("2"), 0.5)
		require.Equal(t, 1.0, h.Slowness("1"))
	}
	run(4 * time.Second)
	require.Zero(t, told, "nothing changed")
	hub.restart()
	run(4 * time.Second)
	require.InDelta(t, 3, hosts[0].Slowness("2"), 0.5)
	slow = 20 * time.Millisecond
	run(5 * time.Second)
	for _, h := range hosts {
		require.Equal(t, 1.0, h.Slowness("2"))
	}
}

// restart makes the tracker one of a process that has just started.
func (t *Tracker) restart() {
	next := New(t.Services, nil)
	t.own, t.merged, t.pending, t.sent, t.received = next.own, next.merged, next.pending, next.sent, next.received
	t.position, t.have, t.mergedAt, t.heardAt, t.updated = next.position, Position{}, 0, 0, 0
}

// A host without a hub, or with one of an older build that answers nothing, uses its own samples.
func TestHostOnItsOwnUsesItsOwnSamples(t *testing.T) {
	var now bootclock.Instant
	host := trackers(1, &now)[0]
	for range 40 {
		for i, took := range []time.Duration{20, 20, 90, 20} {
			host.RecordCall(fmt.Sprint(i), 0, 6, took*time.Millisecond)
		}
		var report struct{ Speed Report }
		var answer bytes.Buffer
		require.NoError(t, gob.NewEncoder(&answer).Encode(struct{ Live bool }{true}))
		reply := struct {
			Live  bool
			Speed Factors
		}{}
		require.NoError(t, gob.NewDecoder(&answer).Decode(&reply))
		report.Speed = host.Report()
		host.Apply(reply.Speed)
		now = now.Add(tick)
	}
	require.Greater(t, host.Slowness("2"), 2.5)
	require.Empty(t, host.Merge(Report{}, false).Changed, "a host of an older build sends nothing")
	require.Len(t, host.Slow(), 1)
	page := httptest.NewRecorder()
	host.ServeHTTP(page, nil)
	var status Status
	require.NoError(t, json.Unmarshal(page.Body.Bytes(), &status))
	require.Equal(t, fromSelf, status.Source)
	require.Equal(t, host.Slowness("2"), status.Services[0].Targets[2].Factor)
}

// Answers that overtake each other must not undo what a later one said.
func TestLateAnswerOfAHubIsIgnored(t *testing.T) {
	var now bootclock.Instant
	host := trackers(1, &now)[0]
	host.Apply(Factors{Position: Position{1, 5}, All: true, Changed: []TargetFactor{{IDOf("0"), 20}}})
	host.Apply(Factors{Position: Position{1, 4}, Changed: []TargetFactor{{IDOf("0"), 30}}})
	host.Apply(Factors{Position: Position{2, 9}, Changed: []TargetFactor{{IDOf("0"), 30}}})
	require.Equal(t, 2.0, host.Slowness("0"))
	now = now.Add(sharedLifetime)
	require.Equal(t, 1.0, host.Slowness("0"), "the hub is silent")
}

// What a sync carries is charged by the byte: a host with four engines in use sends less than 150 bytes.
func TestReportIsSmall(t *testing.T) {
	var now bootclock.Instant
	host := trackers(1, &now)[0]
	host.Report()
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	require.NoError(t, encoder.Encode(host.Report())) // with the types, once for each connection
	types := stream.Len()
	for i := range 4 {
		host.RecordDecode(fmt.Sprint(i), 5, 380*time.Millisecond, 40)
		host.RecordFirst(fmt.Sprint(i), 5, 2550, 5100, 700*time.Millisecond)
	}
	require.NoError(t, encoder.Encode(host.Report()))
	t.Logf("types %d bytes, report of 4 targets %d bytes", types, stream.Len()-types)
	require.Less(t, stream.Len()-types, 150)
}

// A slow target left the list while its domain was evacuated, and works as fast as others when it comes
// back. Hosts went on taking it for slow, as the hub had nothing new to tell of it.
func TestFactorOfATargetThatLeftTheListIsTakenBack(t *testing.T) {
	var now bootclock.Instant
	all := trackers(2, &now)
	hub, host := all[0], all[1]
	targets := []string{"0", "1", "2", "3"}
	services := func() []Service { return []Service{{Name: "p", Targets: targets}} }
	hub.Services, host.Services = services, services
	run := func(d time.Duration, slow time.Duration) {
		for end := now.Add(d); now < end; now = now.Add(20 * time.Millisecond) {
			for i, target := range targets {
				took := 20 * time.Millisecond
				if target == "2" {
					took = slow
				}
				host.RecordCall(targets[i], 0, 6, took)
			}
			host.Apply(hub.Merge(host.Report(), true))
		}
	}
	run(4*time.Second, 80*time.Millisecond)
	require.Greater(t, host.Slowness("2"), 2.0)
	targets = []string{"0", "1", "3"}
	run(40*time.Second, 0)
	targets = []string{"0", "1", "2", "3"}
	run(10*time.Second, 20*time.Millisecond)
	require.Equal(t, 1.0, host.Slowness("2"))
}

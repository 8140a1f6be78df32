package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// lostBound is how soon after its last byte a host may close the connection of a
	// request that it has read and sent to no target.
	lostBound = 200 * time.Millisecond
	// lateBound is how long after SIGTERM a request may be sent that is cut at the end of
	// the grace period.
	lateBound = 3 * time.Second
	// earlyBound is how long after SIGTERM short requests must still be served.
	earlyBound = 2 * time.Second
	// minServed is the number of requests that a run must serve for its check to mean
	// anything.
	minServed = 150
)

// hostStop is one planned stop of a process.
type hostStop struct {
	host           *host
	at             time.Time // of the first SIGTERM
	signals        []laterSignal
	startedAt      time.Time
	endedAt        time.Time
	killed         bool
	logFrom, logTo int // part of the log that the process wrote
}

// checkNothingLost checks each request that ended without a complete answer.
func (r *restartRun) checkNothingLost() {
	seen := r.observations()
	served, cut, lost, unlogged := 0, 0, 0, 0
	for i := range r.uses {
		u := &r.uses[i]
		if u.abandoned {
			continue
		}
		if u.served() {
			served++
		}
		if u.err == nil {
			continue
		}
		lines := u.host.logLines(u.id)
		if len(seen[u.id]) > 0 {
			cut++
			if !strings.Contains(strings.Join(lines, ""), "ingress: request ended") {
				unlogged++
			}
		}
		if violation := r.checkLost(u, seen[u.id], len(lines) > 0 || !errors.Is(u.err, syscall.ECONNRESET)); violation != "" {
			lost++
			r.t.Errorf("request lost: %s (%s, %d events): %s\n%s", u.id, u.route, u.events, violation, r.explain(u, seen[u.id], lines))
		}
	}
	for i := range r.stops {
		r.t.Log(r.stops[i].describe())
	}
	r.t.Logf("%d requests, %d served, %d cut after a target had received them, %d lost; the end of %d is not logged", len(r.uses), served, cut, lost, unlogged)
	r.t.Logf("%d were cut before the last sixth of the grace period after a repeated SIGTERM", r.countCutAfterRepeat(seen))
	early, earlyServed := r.countEarly(seen)
	r.t.Logf("%d of %d short requests sent early in a stop were served", earlyServed, early)
	require.Greater(r.t, served, minServed)
}

// checkEarlyServed checks that stopping hosts serve half of the short requests that are sent
// early in the stop.
func (r *restartRun) checkEarlyServed() {
	early, served := r.countEarly(r.observations())
	require.GreaterOrEqual(r.t, 2*served, early, "a stopping host serves what can end in time")
}

// countEarly counts the short requests that were sent early in a stop and read.
func (r *restartRun) countEarly(seen map[string][]observation) (early, served int) {
	for i := range r.uses {
		u := &r.uses[i]
		s := r.stopBefore(u.host, u.sentWhole)
		if u.abandoned || s == nil || u.events > shortStream || s.since(u.sentWhole) >= earlyBound || u.status == 0 && len(seen[u.id]) == 0 {
			continue
		}
		early++
		if u.served() {
			served++
		}
	}
	return early, served
}

// served reports whether the caller got a complete answer.
func (u *connectionUse) served() bool { return u.err == nil && u.status == http.StatusOK }

// checkLost checks that a request whose connection ended without a complete answer either
// was not read, or was sent in time and still ran at the end of the grace period. The only
// disturbances are planned ones, so that no other reason counts. A connection that is closed
// with unread bytes is reset.
func (r *restartRun) checkLost(u *connectionUse, seen []observation, read bool) string {
	if len(seen) == 0 {
		if took := u.ended.Sub(u.sentWhole); read && took > lostBound {
			return fmt.Sprintf("read, sent to no target, and cut %v after its last byte", took)
		}
		return ""
	}
	if u.ended.Sub(u.sent) >= r.site.callTimeout {
		return ""
	}
	if brokenOff(seen) {
		return ""
	}
	stop := r.stopBefore(u.host, u.ended)
	if stop == nil {
		return "cut although its host was not stopped"
	}
	workedUntil := stop.since(lastEnd(seen))
	if stop.since(u.sentWhole) <= lateBound && workedUntil >= r.site.grace*5/6 {
		return ""
	}
	return fmt.Sprintf("sent from %v to %v after SIGTERM and cut at %v; its target worked on it until %v",
		stop.since(u.sent), stop.since(u.sentWhole), stop.since(u.ended), workedUntil)
}

// lastEnd returns when the last target that was at work ended. A silent engine may work longer
// than one that was to continue its run.
func lastEnd(seen []observation) time.Time {
	var last time.Time
	for _, s := range seen {
		if s.endedAt.After(last) {
			last = s.endedAt
		}
	}
	return last
}

// stopBefore returns the last stop of the host within whose grace period, or up to a second
// later, the given time lies; nil if there is none.
func (r *restartRun) stopBefore(h *host, at time.Time) *hostStop {
	var last *hostStop
	for i := range r.stops {
		s := &r.stops[i]
		if s.host == h && s.at.Before(at) && s.since(at) <= r.site.grace+time.Second && (last == nil || s.at.After(last.at)) {
			last = s
		}
	}
	return last
}

// since returns the time from the first SIGTERM to at.
func (s *hostStop) since(at time.Time) time.Duration { return at.Sub(s.at).Round(time.Millisecond) }

// countCutAfterRepeat counts the cut requests that are excused by the first SIGTERM, but not
// by a later one.
func (r *restartRun) countCutAfterRepeat(seen map[string][]observation) int {
	n := 0
	for i := range r.uses {
		u := &r.uses[i]
		s := r.stopBefore(u.host, u.ended)
		if u.err != nil && !u.abandoned && len(seen[u.id]) > 0 && s != nil && s.lastTerm(u.ended).Add(r.site.grace*5/6).After(u.ended) {
			n++
		}
	}
	return n
}

// lastTerm returns when the last SIGTERM before the given time was sent.
func (s *hostStop) lastTerm(before time.Time) time.Time {
	last := s.at
	for _, later := range s.signals {
		if at := s.at.Add(later.after); later.signal == syscall.SIGTERM && at.Before(before) && at.After(last) {
			last = at
		}
	}
	return last
}

// logLines returns the lines of the host's log that name the request.
func (h *host) logLines(id string) []string {
	text, _ := os.ReadFile(h.process.LogPath)
	var out []string
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"request":"`+id+`"`) {
			out = append(out, line)
		}
	}
	return out
}

// explain describes what is known of a request.
func (r *restartRun) explain(u *connectionUse, seen []observation, lines []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s, connection: %s\n  sent from %s to %s, ended %s: status %d, %d events, %v\n", u.host.name, u.connection,
		u.sent.Format(timeLayout), u.sentWhole.Format(timeLayout), u.ended.Format(timeLayout), u.status, u.receivedEvents(), u.err)
	for _, s := range seen {
		fmt.Fprintf(&b, "  %s worked on it from %s to %s\n", s.target.id, s.arrivedAt.Format(timeLayout), s.endedAt.Format(timeLayout))
	}
	if s := r.stopBefore(u.host, u.ended); s != nil {
		fmt.Fprintf(&b, "  %s\n", s.describe())
	}
	for _, line := range lines {
		b.WriteString("  " + line)
	}
	return b.String()
}

// describe returns when the process received its signals, and when it logged the steps of
// its stop.
func (s *hostStop) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: SIGTERM at %s, %v after its start", s.host.name, s.at.Format(timeLayout), -s.since(s.startedAt))
	for _, later := range s.signals {
		fmt.Fprintf(&b, ", %v at +%v", later.signal, later.after.Round(time.Millisecond))
	}
	fmt.Fprintf(&b, ", ended at +%v, killed: %v", s.since(s.endedAt), s.killed)
	text, _ := os.ReadFile(s.host.process.LogPath)
	for line := range bytes.Lines(text[s.logFrom:s.logTo]) {
		var entry struct {
			Time time.Time
			Msg  string
		}
		if json.Unmarshal(line, &entry) == nil && entry.Time.After(s.at) && strings.HasPrefix(entry.Msg, "edge: ") {
			fmt.Fprintf(&b, ", %q at +%v", entry.Msg, entry.Time.Sub(s.at).Round(100*time.Microsecond))
		}
	}
	return b.String()
}

func TestLostCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	after := func(d time.Duration) time.Time { return at.Add(d) }
	h, other := &host{name: "host-0"}, &host{name: "host-1"}
	r := &restartRun{cluster: &cluster{site: restartSite}, stops: []hostStop{{host: h, at: at}}}
	for name, c := range map[string]struct {
		host            *host
		sentWhole, done time.Duration // after SIGTERM
		seen, read      bool
		lost            bool
	}{
		"sent in time, cut at the end":        {h, 3 * time.Second, 7600 * time.Millisecond, true, true, false},
		"sent late":                           {h, 3001 * time.Millisecond, 7600 * time.Millisecond, true, true, true},
		"cut before the last sixth":           {h, time.Second, 6600 * time.Millisecond, true, true, true},
		"sent before SIGTERM, cut at the end": {h, -time.Second, 7600 * time.Millisecond, true, true, false},
		"cut without a stop":                  {other, time.Second, 7600 * time.Millisecond, true, true, true},
		"cut by the next process":             {h, 8500 * time.Millisecond, 9 * time.Second, true, true, true},
		"not read":                            {h, 4 * time.Second, 7600 * time.Millisecond, false, false, false},
		"read and closed at once":             {h, 4 * time.Second, 4200 * time.Millisecond, false, true, false},
		"read and closed late":                {h, 4 * time.Second, 4201 * time.Millisecond, false, true, true},
	} {
		u := &connectionUse{outcome: outcome{id: "r", host: c.host, sent: after(c.sentWhole), ended: after(c.done), err: errors.New("reset")}, sentWhole: after(c.sentWhole)}
		var seen []observation
		if c.seen {
			seen = []observation{{target: &target{id: "t-1"}, arrivedAt: after(c.sentWhole), endedAt: after(c.done)}}
		}
		require.Equal(t, c.lost, r.checkLost(u, seen, c.read) != "", name)
	}
}

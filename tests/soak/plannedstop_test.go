package soak

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// afterGrace is how long after the grace period a planned stop may still cost answers.
const afterGrace = time.Second

// checkPlannedStop checks that a planned stop of a host costs no answer to a request that the
// host has read, unless its target broke it off or was still at work at the end of the grace
// period.
func (c *cluster) checkPlannedStop(o *outcome, seen []observation) string {
	if o.err == nil || !o.mayBeRead(seen) || o.ended.Sub(o.sent) >= callTimeout-schedulingSlack {
		return ""
	}
	for _, stop := range c.disturbances.ofKind(plannedStop) {
		if stop.subject != o.host.name || o.ended.Before(stop.from) || o.ended.After(stop.from.Add(gracePeriod+afterGrace)) {
			continue
		}
		disturbed := []string{o.host.name}
		if len(seen) == 0 {
			disturbed = append(disturbed, storeSubject) // its key may wait to be confirmed
		}
		if workedToEnd(o, seen, stop) || c.brokeOff(o, seen) || c.disturbances.affected(o.sent, o.ended, plannedStop, disturbed...) {
			continue
		}
		return fmt.Sprintf("its host was stopped as planned at %s; %d targets received it, but the caller got %v", stop.from.Format(timeLayout), len(seen), o.err)
	}
	return ""
}

// mayBeRead reports whether a host has read a request: it has sent it on, or closed the
// connection late and without a reset, as after unread bytes.
func (o *outcome) mayBeRead(seen []observation) bool {
	unread := errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.ECONNREFUSED)
	return len(seen) > 0 || !unread && o.ended.Sub(o.sent) > lostBound
}

// workedToEnd reports whether a target was at work in the last sixth of the grace period on a
// request that was sent in time.
func workedToEnd(o *outcome, seen []observation, stop disturbance) bool {
	if len(seen) == 0 || o.sent.After(stop.from.Add(lateBound)) {
		return false
	}
	until := lastEnd(seen)
	if last := seen[len(seen)-1]; last.target.engine == nil {
		until = last.target.silentUntil(last.arrivedAt, o.ended) // it answers at once otherwise
	}
	return !until.Before(stop.from.Add(gracePeriod * 5 / 6))
}

// brokeOff reports whether the last target of a request failed, ended or was cut off while it
// had the request.
func (c *cluster) brokeOff(o *outcome, seen []observation) bool {
	if len(seen) == 0 {
		return false
	}
	last := seen[len(seen)-1]
	t := last.target
	c.mu.Lock()
	ended := !t.removedAt.IsZero() && t.removedAt.Before(o.ended.Add(schedulingSlack))
	c.mu.Unlock()
	return ended || c.disturbances.interrupted(last.arrivedAt, o.ended, t.id, "fails", "target path")
}

func TestPlannedStopCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	const ms = time.Millisecond
	h, sound := &host{name: "host-0"}, &target{id: "t-1", engine: &standin.Engine{}}
	cut := func(sent, ended time.Duration) *outcome {
		return &outcome{id: "r", route: "draft", host: h, sent: at.Add(sent), ended: at.Add(ended), status: http.StatusOK, err: errors.New("unexpected EOF")}
	}
	work := func(from, to time.Duration, by *target) []observation {
		return []observation{{target: by, arrivedAt: at.Add(from), endedAt: at.Add(to)}}
	}
	reset := cut(500*ms, 1000*ms)
	reset.err = syscall.ECONNRESET
	answered := cut(-1000*ms, 2000*ms)
	answered.err = nil
	stop := disturbance{"host-0", plannedStop, at, at.Add(gracePeriod)} // its last sixth begins at 3.33 s
	for name, test := range map[string]struct {
		o         *outcome
		seen      []observation
		disturbed []disturbance
		violation bool
	}{
		"cut before the last sixth":          {cut(-1000*ms, 3300*ms), work(-1000*ms, 3300*ms, sound), nil, true},
		"cut in the last sixth":              {cut(-1000*ms, 3400*ms), work(-1000*ms, 3400*ms, sound), nil, false},
		"target ended before the last sixth": {cut(-1000*ms, 3400*ms), work(-1000*ms, 3300*ms, sound), nil, true},
		"sent too late":                      {cut(3001*ms, 3400*ms), work(3001*ms, 3400*ms, sound), nil, true},
		"cut long after the stop":            {cut(3500*ms, 5001*ms), work(3500*ms, 5001*ms, sound), nil, false},
		"answered":                           {answered, work(-1000*ms, 2000*ms, sound), nil, false},
		"target ended":                       {cut(-1000*ms, 2000*ms), work(-1000*ms, 2000*ms, &target{id: "t-2", removedAt: at.Add(1900 * ms)}), nil, false},
		"target leaves":                      {cut(-1000*ms, 2000*ms), work(-1000*ms, 2000*ms, sound), []disturbance{{"t-1", "leaves", at, at.Add(2000 * ms)}}, true},
		"target failed":                      {cut(-1000*ms, 2000*ms), work(-1000*ms, 2000*ms, sound), []disturbance{{"t-1", "fails", at, at.Add(2000 * ms)}}, false},
		"target failed earlier":              {cut(-1000*ms, 2000*ms), work(-1000*ms, 2000*ms, sound), []disturbance{{"t-1", "fails", at.Add(-3000 * ms), at.Add(-2000 * ms)}}, true},
		"host frozen within contactBound":    {cut(-1000*ms, 2000*ms), work(-1000*ms, 2000*ms, sound), []disturbance{{"host-0", "freeze", at.Add(-4000 * ms), at.Add(-3000 * ms)}}, false},
		"store disturbed":                    {cut(-1000*ms, 2000*ms), work(-1000*ms, 2000*ms, sound), []disturbance{{storeSubject, "store", at, at.Add(1000 * ms)}}, true},
		"store disturbed, not sent on":       {cut(500*ms, 1000*ms), nil, []disturbance{{storeSubject, "store", at, at.Add(1000 * ms)}}, false},
		"not sent on, closed at once":        {cut(500*ms, 700*ms), nil, nil, false},
		"not sent on, closed late":           {cut(500*ms, 701*ms), nil, nil, true},
		"not sent on, reset":                 {reset, nil, nil, false},
	} {
		c := &cluster{t: t, disturbances: &disturbanceLog{all: append([]disturbance{stop}, test.disturbed...)}}
		require.Equal(t, test.violation, c.checkPlannedStop(test.o, test.seen) != "", name)
	}
}

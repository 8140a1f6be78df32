package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

const (
	// limitWindow is the time over which a target's requests are counted, and limitFactor times
	// what its limit allows in it, and limitSlack more, is what it may get.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitOnTheWay is how long before a request its host must have passed on an answer that names
	// the limit.
	limitOnTheWay = 500 * time.Millisecond
	// minLimit and maxLimit bound the limits, in requests a second.
	minLimit, maxLimit = 0.2, 2.0
	// maxLimitPast is how much longer than contactBound a limit is named at the most.
	maxLimitPast = 5 * time.Second
	// allLimitShare is one in how many times all targets of a service name limits.
	allLimitShare = 2
)

// namedLimit is a time in which a target names a limit in its answers.
type namedLimit struct {
	target    *target
	perSecond float64
	from, to  time.Time
}

func (t *target) nameLimit(perSecond float64) {
	if t.engine != nil {
		t.engine.NameLimit(perSecond)
		return
	}
	t.plain.NameLimit(perSecond)
}

// injectLimits makes targets name limits by their answers for the given time. It has its own random
// source, so that the other faults of a seed stay as they are.
func (c *cluster) injectLimits(seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 5))
	for end := time.Now().Add(length); time.Now().Before(end); {
		active := c.activeTargets([]string{engineService, plainService}[random.IntN(2)])
		if random.IntN(allLimitShare) != 0 && len(active) > 0 {
			active = active[random.IntN(len(active)):][:1]
		}
		d := contactBound + time.Duration(random.Float64()*float64(maxLimitPast))
		var named []namedLimit
		for _, t := range active {
			l := namedLimit{target: t, perSecond: minLimit + random.Float64()*(maxLimit-minLimit), from: time.Now()}
			t.nameLimit(l.perSecond)
			named = append(named, l)
		}
		time.Sleep(min(d, time.Until(end)))
		for i := range named {
			named[i].target.nameLimit(0)
			named[i].to = time.Now()
		}
		c.mu.Lock()
		c.limits = append(c.limits, named...)
		c.mu.Unlock()
	}
}

// checkLimits checks that targets get no more from all hosts together than the limits that they name
// allow.
func (c *cluster) checkLimits(outcomes []outcome) {
	byID := make(map[string]*outcome, len(outcomes))
	for i := range outcomes {
		byID[outcomes[i].id] = &outcomes[i]
	}
	receivers := make(map[string]int) // how many targets got each request
	for _, t := range c.targets {
		requests := t.requests()
		for i := range requests {
			receivers[requests[i].ID()]++
		}
	}
	judged, fullest := 0, 0.0
	for _, l := range c.limits {
		if l.to.Before(l.from.Add(contactBound)) {
			continue
		}
		judged++
		most := c.mostRequests(l, l.target.statements(), l.target.requests(), byID, receivers)
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		fullest = max(fullest, float64(most)/allowed)
		if float64(most) > allowed {
			c.t.Errorf("limits: %s named %.1f requests a second from %s to %s and got %d in %v from hosts that it had told; %.0f are allowed",
				l.target.id, l.perSecond, l.from.Format(timeLayout), l.to.Format(timeLayout), most, limitWindow, allowed)
		}
	}
	c.t.Logf("%d limits, %d judged; the fullest window held %.2f of what is allowed", len(c.limits), judged, fullest)
}

// delaysRequests reports whether requests that were sent evenly may have arrived together at a target.
func (c *cluster) delaysRequests(t *target, from, to time.Time) bool {
	return c.disturbances.interrupted(from, to, t.id, "target path") || len(t.silencesDuring(from, to)) > 0
}

// mostRequests returns how many requests a target got in the fullest window of a limit, from hosts that
// had passed on an answer with it and were not restarted, frozen or cut off between that and the request.
func (c *cluster) mostRequests(l namedLimit, statements []standin.Statement, requests []standin.ReceivedRequest, byID map[string]*outcome, receivers map[string]int) int {
	told := make(map[*host][]time.Time)
	for _, s := range statements {
		o := byID[s.RequestID]
		if s.Limit == 0 || s.At.Before(l.from) || s.At.After(l.to) || o == nil || o.headAt.IsZero() || receivers[o.id] != 1 {
			continue // it is unknown whose answer the host passed on
		}
		told[o.host] = append(told[o.host], o.headAt)
	}
	var arrivals []time.Time
	for i := range requests {
		o, at := byID[requests[i].ID()], requests[i].ReceivedAt
		if o == nil || requests[i].ExpectedTarget() != l.target.id || at.Before(l.from) || at.After(l.to) {
			continue
		}
		if slices.ContainsFunc(told[o.host], func(told time.Time) bool {
			return at.Sub(told) >= limitOnTheWay && !o.host.restarted(told, at) && !c.disturbances.interrupted(told, at, o.host.name, "crash", "freeze", "store path")
		}) {
			arrivals = append(arrivals, at)
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Before(arrivals[j]) })
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if n := last - first + 1; n > most && !arrivals[last].Before(l.from.Add(contactBound)) && !c.delaysRequests(l.target, arrivals[first], arrivals[last]) {
			most = n
		}
	}
	return most
}

func TestLimitCheckCountsWhatToldHostsSend(t *testing.T) {
	at := time.Now()
	for name, test := range map[string]struct {
		told, from, to time.Duration // of the host, and between which 40 requests arrive
		disturbed      []disturbance
		want           int
	}{
		"after the bound":       {told: 100 * time.Millisecond, from: 4 * time.Second, to: 7 * time.Second, want: 40},
		"before the bound":      {told: 100 * time.Millisecond, from: 1 * time.Second, to: 2 * time.Second, want: 0},
		"over two windows":      {told: 100 * time.Millisecond, from: 4 * time.Second, to: 12 * time.Second, want: 20},
		"told just before":      {told: 3900 * time.Millisecond, from: 4 * time.Second, to: 4300 * time.Millisecond, want: 0},
		"frozen since":          {told: 100 * time.Millisecond, from: 4 * time.Second, to: 7 * time.Second, disturbed: []disturbance{{"host-0", "freeze", at.Add(time.Second), at.Add(2 * time.Second)}}, want: 0},
		"another host frozen":   {told: 100 * time.Millisecond, from: 4 * time.Second, to: 7 * time.Second, disturbed: []disturbance{{"host-1", "freeze", at.Add(time.Second), at.Add(2 * time.Second)}}, want: 40},
		"frozen before it":      {told: 2 * time.Second, from: 4 * time.Second, to: 7 * time.Second, disturbed: []disturbance{{"host-0", "freeze", at, at.Add(time.Second)}}, want: 40},
		"after the limit":       {told: 100 * time.Millisecond, from: 21 * time.Second, to: 23 * time.Second, want: 0},
		"the store disturbed":   {told: 100 * time.Millisecond, from: 4 * time.Second, to: 7 * time.Second, disturbed: []disturbance{{storeSubject, "store", at, at.Add(9 * time.Second)}}, want: 40},
		"its store path is cut": {told: 100 * time.Millisecond, from: 4 * time.Second, to: 7 * time.Second, disturbed: []disturbance{{"host-0", "store path", at.Add(time.Second), at.Add(2 * time.Second)}}, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cluster{t: t, disturbances: &disturbanceLog{all: test.disturbed}}
			h, l := &host{name: "host-0"}, namedLimit{target: &target{id: "t-1"}, perSecond: 2, from: at, to: at.Add(20 * time.Second)}
			byID, receivers := map[string]*outcome{"r-0": {id: "r-0", host: h, headAt: at.Add(test.told)}}, map[string]int{"r-0": 1}
			statements := []standin.Statement{{RequestID: "r-0", At: at.Add(test.told), Limit: 2}}
			var requests []standin.ReceivedRequest
			const n = 40
			for i := range n {
				id := fmt.Sprint("s-", i)
				byID[id] = &outcome{id: id, host: h}
				header := http.Header{headers.RequestID: {id}, headers.Target: {"t-1"}}
				requests = append(requests, standin.ReceivedRequest{Request: &http.Request{Header: header}, ReceivedAt: at.Add(test.from + (test.to-test.from)*time.Duration(i)/n)})
			}
			require.Equal(t, test.want, c.mostRequests(l, statements, requests, byID, receivers))
		})
	}
}

package soak

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// afterTimeout is how long after its route's timeout a request may be without an answer.
	afterTimeout = 500 * time.Millisecond
	// maxUnfinished is how many requests that last longer than that are too few to judge.
	maxUnfinished = 7
)

// timeouts counts the requests that lasted longer than their route's timeout.
type timeouts struct {
	unanswered, withoutAnswer int // no head at the timeout, and none afterTimeout later
	unfinished, withoutEnd    int // not ended at the timeout, and not afterTimeout later
}

// add counts a request of a host that nothing disturbs at its timeout.
func (n *timeouts) add(c *cluster, o *outcome) {
	timeout := o.sent.Add(c.site.callTimeout)
	limit := timeout.Add(afterTimeout)
	if o.ended.Before(timeout) || c.disturbances.affected(timeout, limit, "", o.host.name) {
		return
	}
	n.unfinished++
	if o.ended.After(limit) {
		n.withoutEnd++
	}
	if o.headAt.IsZero() || o.headAt.After(timeout) {
		n.unanswered++
		if o.headAt.IsZero() && o.ended.After(limit) || o.headAt.After(limit) {
			n.withoutAnswer++
		}
	}
}

func (n *timeouts) violated() bool {
	return 2*n.withoutAnswer > n.unanswered || n.unfinished > maxUnfinished && 4*n.withoutEnd > n.unfinished
}

// checkTimeouts checks that hosts answer and end requests at the timeout of their route.
func (c *cluster) checkTimeouts(outcomes []outcome) {
	var n timeouts
	for i := range outcomes {
		n.add(c, &outcomes[i])
	}
	c.t.Logf("at their timeout %d requests had no answer, %d of them later; %d had not ended, %d of them later", n.unanswered, n.withoutAnswer, n.unfinished, n.withoutEnd)
	if n.violated() {
		c.t.Errorf("timeouts: %+v", n)
	}
}

func TestDeadlineCheckDetectsLateEnds(t *testing.T) {
	at := time.Now()
	for name, test := range map[string]struct {
		took         time.Duration
		status       int
		frozen       [2]time.Duration // from and to, after the request was sent
		violatesRule bool
	}{
		"in time":                 {took: callTimeout, status: 200},
		"late":                    {took: callTimeout + time.Second + 1, status: 200, violatesRule: true},
		"no answer at all":        {took: callTimeout + time.Second + 1},
		"late, frozen at its end": {took: callTimeout + time.Second + 1, status: 200, frozen: [2]time.Duration{7 * time.Second, 10 * time.Second}},
		"late, frozen until 1 s before": {
			took: callTimeout + time.Second + 1, status: 200, frozen: [2]time.Duration{4 * time.Second, 7 * time.Second}, violatesRule: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cluster{t: t, site: soakSite, disturbances: &disturbanceLog{}}
			if test.frozen[1] > 0 {
				c.disturbances.all = []disturbance{{"host-0", "freeze", at.Add(test.frozen[0]), at.Add(test.frozen[1])}}
			}
			o := &outcome{host: &host{name: "host-0"}, sent: at, ended: at.Add(test.took), status: test.status}
			require.Equal(t, test.violatesRule, c.checkDeadline(o) != "")
		})
	}
}

func TestTimeoutCheckDetectsViolations(t *testing.T) {
	at := time.Now()
	c := &cluster{t: t, site: soakSite, disturbances: &disturbanceLog{}}
	count := func(n int, head, took time.Duration) timeouts {
		var all timeouts
		for range n {
			o := &outcome{host: &host{name: "host-0"}, sent: at, ended: at.Add(took), err: errors.New("timeout")}
			if head > 0 {
				o.headAt = at.Add(head)
			}
			all.add(c, o)
		}
		return all
	}
	violated := func(n timeouts) bool { return n.violated() }
	require.True(t, violated(count(1, 0, callTimeout+afterTimeout+1)), "no answer")
	require.False(t, violated(count(1, 0, callTimeout+afterTimeout)), "closed in time")
	require.False(t, violated(count(1, callTimeout+1, callTimeout+1)), "answered in time")
	require.True(t, violated(count(1, callTimeout+afterTimeout+1, callTimeout+time.Second)), "answered late")
	require.True(t, violated(count(8, time.Second, callTimeout+afterTimeout+1)), "streams that go on")
	require.False(t, violated(count(7, time.Second, callTimeout+afterTimeout+1)), "seven streams")
	c.disturbances.all = []disturbance{{"host-0", "freeze", at, at.Add(callTimeout)}}
	require.False(t, violated(count(1, 0, callTimeout+afterTimeout+1)), "disturbed")
}

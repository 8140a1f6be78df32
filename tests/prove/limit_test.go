package prove

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"corianderhitch/api/completion"

	"github.com/stretchr/testify/require"
)

const (
	// namedLimit is the limit that targets name, in requests a second.
	namedLimit = 2.0
	// limitNotice is how long after a target has named its limit it holds, limitWindow the
	// time in which requests are counted.
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	// allowedInWindow is one and a half times what the limit allows, and five more.
	allowedInWindow = int(1.5*namedLimit*4) + 5
	// minUsedShare is how much of the limit is used at least while far more requests come.
	minUsedShare = 0.4
	// limitedFor is how long requests are sent at limited targets, one of each kind every
	// limitSendInterval.
	limitedFor        = 11 * time.Second
	limitSendInterval = 30 * time.Millisecond
)

// LIMIT: engines and services that named a limit got all requests as before.
func TestGatewaysKeepToTheLimitsOfTargets(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"engines", "services"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			defer acquireSlot()()
			summary := ""
			recordResult(t, "limits of targets", kind+" name a limit", &summary)
			c := startCluster(t, clusterSpec{hosts: 3, engines: 2, services: 2})
			targets, counted := c.engines, "start"
			if kind == "services" {
				targets, counted = c.services, ""
			}
			stop := c.sendShortRequests(t, kind)
			for _, target := range targets {
				callAdmin(t, http.MethodPut, "http://"+target.direct+"/admin/limit", map[string]any{"limited": true, "per_second": namedLimit})
			}
			named := time.Now()
			<-time.After(limitedFor)
			served, sent := stop()
			most, used := 0, 0
			var starts []string // at the target with the fullest window, in seconds after it named its limit
			for _, target := range targets {
				var at []time.Time
				for _, line := range readJournal(t, target) {
					if line.Kind == counted && line.Time.After(named) {
						at = append(at, line.Time)
					}
				}
				if n := fullestWindow(at, named.Add(limitNotice)); n > most {
					most, starts = n, secondsAfter(named, at)
				}
				used += len(at)
			}
			summary = fmt.Sprintf("%.0f/s named by 2, at most %d in 4 s of %d allowed, %d of %d requests served", namedLimit, most, allowedInWindow, served, sent)
			require.LessOrEqual(t, most, allowedInWindow, "requests at a target in 4 s, which came %v after it had named its limit", starts)
			require.GreaterOrEqual(t, float64(used), minUsedShare*namedLimit*float64(len(targets))*limitedFor.Seconds(), "requests at all targets")
		})
	}
}

// fullestWindow returns the largest number of instants within limitWindow that ends at or after
// from. The instants ascend.
func fullestWindow(at []time.Time, from time.Time) int {
	most := 0
	for first, last := 0, 0; last < len(at); last++ {
		for at[last].Sub(at[first]) >= limitWindow {
			first++
		}
		if !at[last].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// secondsAfter formats instants as seconds after another one.
func secondsAfter(from time.Time, at []time.Time) []string {
	out := make([]string, len(at))
	for i, a := range at {
		out[i] = fmt.Sprintf("%.2f", a.Sub(from).Seconds())
	}
	return out
}

// sendShortRequests sends a short stream, or a seat hold and a lookup, at regular intervals to the
// hosts in turn. The returned function stops and returns how many were served and sent.
func (c *cluster) sendShortRequests(t *testing.T, kind string) (stop func() (served, sent int)) {
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	count := func(ok bool) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		if ok {
			served++
		}
	}
	send := func(i int) {
		host := i % len(c.hosts)
		if kind == "engines" {
			got := &received{}
			err := readStream(ctx, c.hosts[host].callerURL, streamCall{key: keyDesk, requestID: fmt.Sprint("short-", i),
				body: completion.Request{Model: "briefing", Prompt: fmt.Sprintf("Short question %d #len=2", i)}}, got)
			count(err == nil && got.done)
			return
		}
		answer, err := c.hold(t, host, fmt.Sprint("short-", i))
		count(err == nil && answer.status == http.StatusOK)
		answer, err = callPlain(t, c.hosts[host].callerURL, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
		count(err == nil && answer.status == http.StatusOK)
	}
	callers.Go(func() {
		ticker := time.NewTicker(limitSendInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				callers.Go(func() { send(i) })
			}
		}
	})
	return func() (int, int) {
		cancel()
		callers.Wait()
		return served, sent
	}
}

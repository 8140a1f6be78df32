package prove

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
)

const (
	// hostCutFor is how long a host is cut off from all targets, hostCutNotice how long after
	// its beginning first tries count.
	hostCutFor    = 10 * time.Second
	hostCutNotice = 3 * time.Second
	// hostCutSendInterval separates the requests to a host.
	hostCutSendInterval = 60 * time.Millisecond
	// hostCutDeadline is how long a caller waits for its answer.
	hostCutDeadline = 3 * time.Second
	// minServedByOthers is the share of first tries that the other hosts serve at least.
	minServedByOthers = 0.95
)

// firstTries counts requests that callers sent once, by host.
type firstTries struct {
	served, sent []int
}

// RECOVER: a gateway that reached no target rejected all requests, and the others lost targets.
func TestCallersOfGatewaysCutFromTheTargetsAreServed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		cut  []int
		open bool
	}{
		{"new connections are reset", []int{1}, false},
		{"all connections are reset", []int{1}, true},
		{"two of three hosts, all connections", []int{0, 2}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			defer acquireSlot()()
			summary := ""
			recordResult(t, "host cut off from all targets", tc.name, &summary)
			c := startCluster(t, clusterSpec{hosts: 3, engines: 3, services: 3})
			links := append(append([]*target(nil), c.engines...), c.services...)
			stop := c.sendFirstTries(t, time.Now().Add(hostCutNotice))
			for _, l := range links {
				for _, host := range tc.cut {
					l.link.CutFrom(c.hosts[host].outboundIP, tc.open)
				}
			}
			<-time.After(hostCutFor)
			tries := stop()
			for _, l := range links {
				l.link.EndCuts()
			}
			served, sent, othersServed, othersSent := tries.split(tc.cut)
			summary = fmt.Sprintf("%d of %d first tries served, at the others %d of %d", served, sent, othersServed, othersSent)
			require.GreaterOrEqual(t, float64(othersServed), minServedByOthers*float64(othersSent), "first tries at the other hosts: "+summary)
			fewer := 3*served*othersSent < 2*othersServed*sent
			require.False(t, fewer && sent-served > 10+sent/50, "first tries at hosts that are cut off: "+summary)
		})
	}
}

// split adds up the counts of some hosts and those of the others.
func (f firstTries) split(hosts []int) (served, sent, othersServed, othersSent int) {
	for host := range f.sent {
		if slices.Contains(hosts, host) {
			served, sent = served+f.served[host], sent+f.sent[host]
		} else {
			othersServed, othersSent = othersServed+f.served[host], othersSent+f.sent[host]
		}
	}
	return served, sent, othersServed, othersSent
}

// sendFirstTries sends a seat hold, a lookup and a short stream in turn to each host at regular
// intervals. The returned function stops and returns the counts of those sent from a time on.
func (c *cluster) sendFirstTries(t *testing.T, from time.Time) (stop func() firstTries) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	tries := firstTries{served: make([]int, len(c.hosts)), sent: make([]int, len(c.hosts))}
	send := func(host, n int) {
		counts := !time.Now().Before(from)
		ok := c.sendFirstTry(t, host, n)
		mu.Lock()
		defer mu.Unlock()
		if counts {
			tries.sent[host]++
		}
		if counts && ok {
			tries.served[host]++
		}
	}
	callers.Go(func() {
		ticker := time.NewTicker(hostCutSendInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				for host := range c.hosts {
					callers.Go(func() { send(host, n) })
				}
			}
		}
	})
	return func() firstTries {
		close(done)
		callers.Wait()
		return tries
	}
}

// sendFirstTry sends the n-th request to a host and reports whether it was served.
func (c *cluster) sendFirstTry(t *testing.T, host, n int) bool {
	url, id := c.hosts[host].callerURL, fmt.Sprintf("try-%d-%d", host, n)
	sent := time.Now()
	var answer plainAnswer
	var err error
	switch n % 3 {
	case 0:
		answer, err = c.hold(t, host, id)
	case 1:
		answer, err = callPlain(t, url, keyDesk, http.MethodGet, "/services/booking/availability", "", "")
	default:
		ctx, cancel := context.WithTimeout(t.Context(), hostCutDeadline)
		defer cancel()
		got := &received{}
		err = readStream(ctx, url, streamCall{key: keyDesk, requestID: id,
			body: completion.Request{Model: "briefing", Prompt: fmt.Sprintf("Question %s #len=4", id)}}, got)
		return err == nil && got.done
	}
	return err == nil && answer.status == http.StatusOK && time.Since(sent) <= hostCutDeadline
}

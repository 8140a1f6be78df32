package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func TestIdleTimeoutThatCallersRelyOn(t *testing.T) {
	type step struct {
		after      time.Duration // since the first step
		configured time.Duration
		want       time.Duration
	}
	for name, steps := range map[string][]step{
		"not configured":               {{0, 0, defaultIdleTimeout}, {time.Hour, 0, defaultIdleTimeout}},
		"longer":                       {{0, 15 * time.Second, 15 * time.Second}, {time.Second, time.Minute, time.Minute}},
		"shorter":                      {{0, time.Minute, time.Minute}, {time.Second, time.Second, time.Minute}, {60 * time.Second, time.Second, time.Minute}, {61 * time.Second, time.Second, time.Second}},
		"shorter twice":                {{0, time.Minute, time.Minute}, {time.Second, 10 * time.Second, time.Minute}, {2 * time.Second, time.Second, time.Minute}, {61 * time.Second, time.Second, time.Second}},
		"shorter, longer and shorter":  {{0, 10 * time.Second, 10 * time.Second}, {time.Second, time.Second, 10 * time.Second}, {2 * time.Second, time.Minute, time.Minute}, {3 * time.Second, time.Second, time.Minute}, {63 * time.Second, time.Second, time.Second}},
		"a configuration without it":   {{0, time.Minute, time.Minute}, {time.Second, 0, time.Minute}, {61 * time.Second, 0, defaultIdleTimeout}},
		"shorter long after a shorter": {{0, time.Minute, time.Minute}, {time.Second, 30 * time.Second, time.Minute}, {2 * time.Minute, time.Second, 30 * time.Second}, {150 * time.Second, time.Second, time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			var timeout idleTimeout
			start := bootclock.Instant(time.Hour)
			for _, s := range steps {
				require.Equal(t, s.want, timeout.update(s.configured, start.Add(s.after)), "after %v", s.after)
			}
		})
	}
}

func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	i := &IdleConnections{Configured: func() time.Duration { return time.Minute }}
	idle, busy := net.Conn(&net.TCPConn{}), net.Conn(&net.TCPConn{})
	i.ConnState(idle, http.StateIdle)
	i.ConnState(busy, http.StateIdle)
	i.ConnState(busy, http.StateActive)
	now := bootclock.Now()
	require.Empty(t, i.expired(now.Add(time.Minute)))
	require.Equal(t, []net.Conn{idle}, i.expired(now.Add(time.Minute+2*idleMargin)))
	i.ConnState(idle, http.StateClosed)
	require.Empty(t, i.idleSince)
}

package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// cuttableListener resets connections from one IP address.
type cuttableListener struct {
	net.Listener
	cutIP atomic.Value // string; "" for none
}

// Accept implements net.Listener.
func (l *cuttableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String()); ip != l.cutIP.Load() {
			return conn, nil
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func TestCallersOfACutOffHostAreServedByOneInItsDrain(t *testing.T) {
	const targets, requests = 3, 10
	f := newFleet(t)
	f.ownIPs, f.grace = true, 4*time.Second
	f.configure()
	var listeners []*cuttableListener
	for n := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := &cuttableListener{Listener: listener}
		l.cutIP.Store("")
		listeners = append(listeners, l)
		target := standin.StartPlainTarget(fmt.Sprintf("p-%d", n), l)
		t.Cleanup(target.Close)
		f.register(fmt.Sprintf("p-%d", n), plainService, target.Address(), "ready")
	}
	cut, helper := f.startHost(), f.startHost()
	for _, l := range listeners {
		l.cutIP.Store(hostIP(0))
	}
	sent := 0
	isServed := func() bool {
		sent++
		a := send(cut.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("r-%d", sent), nil))
		return a.err == nil && a.status == http.StatusOK
	}
	require.Eventually(t, isServed, waitTimeout, checkInterval, "by way of the other host")
	helper.stop()
	require.Eventually(t, func() bool { return !helper.isReady() }, waitTimeout, checkInterval)
	for range requests {
		require.True(t, isServed())
	}
}

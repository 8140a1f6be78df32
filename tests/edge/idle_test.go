package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongerIdleTimeoutOfANewConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure()
	f.startPlainTarget("d-1")
	h := f.startHost()
	f.idleTimeout = 30 * time.Second
	f.configure()
	require.Eventually(t, func() bool { return logContains(h, `"msg":"policy: configuration in force","version":2`) }, waitTimeout, checkInterval)
	connection := newCallerConnection(t, h)
	require.Equal(t, http.StatusOK, connection.call("r-1"))
	time.Sleep(18 * time.Second) // within four fifths of the limit
	require.Equal(t, http.StatusOK, connection.call("r-2"))
}

func TestShorterIdleTimeoutClosesConnectionsThatTheLongerOneAllowed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.idleTimeout = 6 * time.Second
	f.configure()
	f.startPlainTarget("d-1")
	h := f.startHost()
	connection, unused := newCallerConnection(t, h), newCallerConnection(t, h)
	require.Equal(t, http.StatusOK, connection.call("r-1"))
	require.Equal(t, http.StatusOK, unused.call("r-2"))
	f.idleTimeout = time.Second
	f.configure()
	require.Eventually(t, func() bool { return logContains(h, `"msg":"policy: configuration in force","version":2`) }, waitTimeout, checkInterval)
	time.Sleep(4 * time.Second) // within four fifths of the earlier limit
	require.Equal(t, http.StatusOK, connection.call("r-3"))
	require.Eventually(t, unused.isClosed, 12*time.Second, 50*time.Millisecond)
}

package drill

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

func TestCallersRepeatAsTheKindAllows(t *testing.T) {
	connected := time.Now()
	for name, c := range map[string]struct {
		kind   record.Kind
		result record.Request
		want   bool
	}{
		"rejected":                      {record.NonIdempotent, record.Request{Status: http.StatusServiceUnavailable, Opened: connected}, true},
		"served":                        {record.Idempotent, record.Request{Status: http.StatusOK, Complete: true, Opened: connected}, false},
		"cut, idempotent":               {record.Idempotent, record.Request{Opened: connected}, true},
		"cut, not idempotent":           {record.NonIdempotent, record.Request{Opened: connected}, false},
		"no connection, not idempotent": {record.NonIdempotent, record.Request{}, true},
		"failed, idempotent":            {record.Idempotent, record.Request{Status: http.StatusInternalServerError, Complete: true, Opened: connected}, true},
		"not found":                     {record.Idempotent, record.Request{Status: http.StatusNotFound, Complete: true, Opened: connected}, false},
	} {
		t.Run(name, func(t *testing.T) {
			call := &call{kind: &deployment.Kind{Kind: c.kind}}
			assert.Equal(t, c.want, call.mayRepeat(&c.result))
		})
	}
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := dial(&host{}, listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	peer, err := listener.Accept()
	require.NoError(t, err)
	assert.False(t, conn.isClosed())
	require.NoError(t, peer.Close())
	assert.Eventually(t, conn.isClosed, time.Second, time.Millisecond)
}

package prove

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// attackSlowHeader opens connections that never complete their request header. The
// gateway must close them after its header timeout.
func attackSlowHeader(t *testing.T, c *cluster) string {
	const connections = 200
	var conns []net.Conn
	for range connections {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.hosts[0].callerURL, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: "))
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	answer := sendRequest(t, http.MethodGet, c.hosts[0].callerURL+"/services/booking/availability", keyDesk, "")
	require.Equal(t, http.StatusOK, answer.status)
	begin := time.Now()
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(readyTimeout)))
		buffer := make([]byte, 512)
		for {
			if _, err := conn.Read(buffer); err != nil {
				var timeout net.Error
				require.Falsef(t, asNetError(err, &timeout) && timeout.Timeout(), "the connection is still open")
				break
			}
		}
	}
	return fmt.Sprintf("%d connections ended after %s, a lookup meanwhile took %s", connections,
		time.Since(begin).Round(100*time.Millisecond), answer.took.Round(time.Millisecond))
}

func asNetError(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	*target = e
	return ok
}

// attackNoReader starts streams and reads none of their bytes.
func attackNoReader(t *testing.T, c *cluster) string {
	const connections = 20
	body := `{"model":"briefing","adapter":"sk","prompt":"unread #len=300","stream":true}`
	for i := range connections {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.hosts[i%2].callerURL, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
			"Idempotency-Key: unread-%d\r\nContent-Length: %d\r\n\r\n%s", keySkipper, i, len(body), body)
		require.NoError(t, err)
	}
	caller := newCaller(keyDesk, "beside-unread", "", "Beside", 60)
	require.NoError(t, readStream(context.Background(), c.hosts[0].callerURL, caller.call, &caller.got))
	c.checkOwnAnswers(t, []*streamCaller{caller})
	return fmt.Sprintf("%d unread streams; longest pause of a stream beside them %s", connections, caller.got.maxGap.Round(time.Millisecond))
}

// attackFlood sends many requests of one account at the same time.
func attackFlood(t *testing.T, c *cluster) string {
	const requests = 300
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller := newCaller(keySkipper, fmt.Sprintf("flood-%d", i), "sk", "Flood", 200)
			_ = readStream(ctx, c.hosts[i%2].callerURL, caller.call, &caller.got)
		}()
	}
	caller := newCaller(keyDesk, "beside-flood", "", "Beside", 60)
	begin := time.Now()
	err := readStream(context.Background(), c.hosts[0].callerURL, caller.call, &caller.got)
	took := time.Since(begin)
	cancel()
	wg.Wait()
	require.NoError(t, err)
	c.checkOwnAnswers(t, []*streamCaller{caller})
	return fmt.Sprintf("%d requests of one account; a stream of another took %s", requests, took.Round(10*time.Millisecond))
}

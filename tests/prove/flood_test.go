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

// attackSlowHeader opens connections that never finish their header; the
// gateway must end them by its header timeout.
func attackSlowHeader(t *testing.T, c *cluster) string {
	const connections = 200
	var conns []net.Conn
	for range connections {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.hosts[0].url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: "))
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	answer := ask(t, http.MethodGet, c.hosts[0].url+"/services/booking/availability", keyDesk, "")
	require.Equal(t, http.StatusOK, answer.status)
	begin := time.Now()
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(readyLimit)))
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

// attackNoReader starts streams and never reads a byte of them.
func attackNoReader(t *testing.T, c *cluster) string {
	const connections = 20
	body := `{"model":"briefing","adapter":"sk","prompt":"unread #len=300","stream":true}`
	for i := range connections {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.hosts[i%2].url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
			"Idempotency-Key: unread-%d\r\nContent-Length: %d\r\n\r\n%s", keySkipper, i, len(body), body)
		require.NoError(t, err)
	}
	one := newCaller(keyDesk, "beside-unread", "", "Beside", 60)
	require.NoError(t, stream(context.Background(), c.hosts[0].url, one.call, &one.got))
	c.checkOwn(t, []*caller{one})
	return fmt.Sprintf("%d unread streams; longest pause of a stream beside them %s", connections, one.got.maxGap.Round(time.Millisecond))
}

// attackFlood sends many requests of one account at once.
func attackFlood(t *testing.T, c *cluster) string {
	const requests = 300
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	for i := range requests {
		open.Add(1)
		go func() {
			defer open.Done()
			one := newCaller(keySkipper, fmt.Sprintf("flood-%d", i), "sk", "Flood", 200)
			_ = stream(ctx, c.hosts[i%2].url, one.call, &one.got)
		}()
	}
	one := newCaller(keyDesk, "beside-flood", "", "Beside", 60)
	begin := time.Now()
	err := stream(context.Background(), c.hosts[0].url, one.call, &one.got)
	took := time.Since(begin)
	cancel()
	open.Wait()
	require.NoError(t, err)
	c.checkOwn(t, []*caller{one})
	return fmt.Sprintf("%d requests of one account; a stream of another took %s", requests, took.Round(10*time.Millisecond))
}

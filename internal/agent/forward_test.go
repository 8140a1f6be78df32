package agent

import (
	"context"
	"io"
	"iter"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/control"
	"corianderhitch/internal/forwardconn"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/tlskeys"
)

// startEndingTarget starts a target that answers every connection with "ab" after its first byte and ends
// it, by a reset if resets is set.
func startEndingTarget(t *testing.T, resets bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if n, _ := conn.Read(make([]byte, 1)); n > 0 {
				_, _ = io.WriteString(conn, "ab")
				time.Sleep(50 * time.Millisecond)
			}
			if resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// A host that reaches no target connects by way of the agent of another one, over TLS if that is on.
func TestAgentConnectsHostsWithItsCertificateToTargets(t *testing.T) {
	certificate := writeCertificate(t)
	material, err := tlskeys.Open(certificate, logging.Discard())
	require.NoError(t, err)
	for name, c := range map[string]struct {
		secured, resets bool
		dial            rpcconn.Dialer
		connected       bool
	}{
		"without TLS":                   {false, false, rpcconn.TCP, true},
		"without TLS, the target fails": {false, true, rpcconn.TCP, true},
		"TLS":                           {true, false, material.Dial, true},
		"TLS, the target fails":         {true, true, material.Dial, true},
		"TLS, without a certificate":    {true, false, rpcconn.TCP, false},
	} {
		t.Run(name, func(t *testing.T) {
			store := memstore.New(memstore.Options{PollLimit: time.Second})
			address := startEndingTarget(t, c.resets)
			store.PutTarget(platform.Target{Name: "booking-1", Address: address, Domain: "d0", Region: "r", Kind: platform.TargetService, Service: "booking"})
			s := agentSettings(0)
			if c.secured {
				s.TLSSettings = certificate
			}
			a, err := Start(logging.Discard(), s, store)
			require.NoError(t, err)
			defer a.Stop(context.Background())
			(&deployment{t: t, agents: []*Agent{a}}).await("target", func(a *Agent) bool { return a.State().TargetCount() == 1 })

			row := control.TargetState{Target: platform.Target{Kind: platform.TargetService, Service: "booking", Address: address}}
			cutOff := forwardconn.New(forwardconn.Options{
				Direct: func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
				Targets: forwardconn.Rows(func() iter.Seq[control.TargetState] { return slices.Values([]control.TargetState{row}) }),
				Helpers: func() []string { return []string{a.Address()} }, Agent: c.dial, CloseIdle: func() {}, Log: logging.Discard(),
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			conn, err := cutOff.DialContext(ctx, "tcp", address)
			require.Equal(t, c.connected, err == nil, err)
			if err != nil {
				return
			}
			_, err = conn.Write([]byte("x"))
			require.NoError(t, err)
			answer, err := io.ReadAll(conn)
			require.Equal(t, "ab", string(answer))
			require.Equal(t, c.resets, err != nil, "only a reset is no proper end: %v", err)
			_ = conn.Close()
		})
	}
}

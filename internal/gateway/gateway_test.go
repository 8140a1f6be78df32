package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/goleak"

	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/ledger"
	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func loadSettings(t *testing.T, args ...string) (Settings, error) {
	t.Helper()
	flags := pflag.NewFlagSet("gateway", pflag.ContinueOnError)
	settings.Register(flags, new(Settings))
	require.NoError(t, flags.Parse(args))
	var s Settings
	err := settings.Load(flags, &s)
	return s, err
}

func TestGatewayWithoutAgentsIsNotReadyAndStops(t *testing.T) {
	s, err := loadSettings(t, "--host=h", "--agents=127.0.0.1:1", "--store=http://127.0.0.1:1",
		"--token-keys=a:00112233445566778899aabbccddeeff", "--drain-notice=1ms")
	require.NoError(t, err)
	s.Listen = "127.0.0.1:0"
	g, err := Start(logging.Discard(), s, memstore.New(memstore.Options{}), noop.NewMeterProvider().Meter(""))
	require.NoError(t, err)
	require.False(t, g.Ready())
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Post("http://"+g.Address()+"/v1/completions", "application/json", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.NoError(t, resp.Body.Close())
	g.Stop(t.Context())
}

func TestOutcomeOfCallThatEndsAfterDrainTimeoutIsStored(t *testing.T) {
	s, err := loadSettings(t, "--host=h", "--agents=127.0.0.1:1", "--store=http://127.0.0.1:1",
		"--token-keys=a:00112233445566778899aabbccddeeff", "--drain-notice=1ms")
	require.NoError(t, err)
	s.Listen = "127.0.0.1:0"
	store := memstore.New(memstore.Options{})
	g, err := Start(logging.Discard(), s, store, noop.NewMeterProvider().Meter(""))
	require.NoError(t, err)
	call := ledger.Call{Account: "a", Key: "k"}
	first, err := g.ledger.Claim(t.Context(), call)
	require.NoError(t, err)
	drainTimeout, cancel := context.WithCancel(t.Context())
	cancel()
	g.tasks.Go(func() { // as the wait for the handler of the call
		time.Sleep(200 * time.Millisecond)
		first.Claim.Complete(ledger.Outcome{Status: http.StatusCreated})
	})
	g.Stop(drainTimeout)
	other := ledger.New(store, "other", func() time.Duration { return time.Hour }, ids.New, nil, ledger.DefaultSettings(), logging.Discard())
	defer other.Stop(t.Context())
	resent, err := other.Claim(t.Context(), call)
	require.NoError(t, err, "the outcome is known")
	require.Equal(t, http.StatusCreated, resent.Replay.Status)
}

// All invalid and missing settings are reported together, not only the first.
func TestInvalidSettingsAreAllReported(t *testing.T) {
	_, err := loadSettings(t, "--listen=nowhere", "--claim-timeout=1h")
	for _, name := range []string{"--host", "--listen", "--claim-timeout", "--store"} {
		require.ErrorContains(t, err, name)
	}
}

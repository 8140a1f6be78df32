package settings

import (
	"bytes"
	"testing"
	"time"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
)

type testSettings struct {
	Listen string        `flag:"listen" default:"127.0.0.1:1" usage:"address" validate:"required"`
	Wait   time.Duration `flag:"wait" default:"2s" usage:"how long" validate:"min=1ms"`
	Peers  []string      `flag:"peers" usage:"addresses"`
	Count  int           `flag:"count" default:"3" usage:"how many" validate:"min=1,max=9"`
	Token  string        `flag:"token" usage:"shared token" secret:"true"`
}

func load(t *testing.T, s *testSettings, args ...string) error {
	t.Helper()
	flags := pflag.NewFlagSet("sample", pflag.ContinueOnError)
	Register(flags, s)
	require.NoError(t, flags.Parse(args))
	return Load(flags, s)
}

func TestFlagOverridesEnvironmentOverridesDefault(t *testing.T) {
	t.Setenv("HITCH_WAIT", "5s")
	t.Setenv("HITCH_COUNT", "4")
	var s testSettings
	require.NoError(t, load(t, &s, "--count=7", "--peers=a, b"))
	require.Equal(t, testSettings{Listen: "127.0.0.1:1", Wait: 5 * time.Second, Peers: []string{"a", "b"}, Count: 7}, s)
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	t.Setenv("HITCH_WAIT", "soon")
	t.Setenv("HITCH_LISTNE", "x")
	var s testSettings
	err := load(t, &s, "--count=12", "--listen=")
	require.ErrorContains(t, err, `HITCH_WAIT="soon": is not a duration`)
	require.ErrorContains(t, err, "HITCH_LISTNE: is not a setting of this program")
	require.ErrorContains(t, err, `--count="12": breaks the rule "max=9"`)
	require.ErrorContains(t, err, `--listen="": breaks the rule "required"`)
}

func TestPrintMasksSecrets(t *testing.T) {
	var s testSettings
	require.NoError(t, load(t, &s, "--token=hunter2"))
	var out bytes.Buffer
	Print(&out, &s)
	require.NotContains(t, out.String(), "hunter2")
	require.Contains(t, out.String(), "token=********")
}

package deployment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadOwnDeployment(t *testing.T) {
	d, err := Read("../../../deploy/drill/small.toml")
	require.NoError(t, err)
	assert.Equal(t, 3, d.Hosts())
	assert.Equal(t, 2*time.Second, d.Bounds.Drain)
	assert.Equal(t, 24000, d.Service("writers").Engine.MemoryTokens)
	assert.Zero(t, d.Kind("booking").Timeout)
	assert.Equal(t, 2, d.Record().Routes["query"].MaxAttempts)
}

func TestReadRejects(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key":     "[deployment]\nhostz = 3\n",
		"no hosts":        "[deployment]\nname = \"x\"\n",
		"unknown service": "[deployment]\ndomains = [{name=\"a\", hosts=1}]\ncallers = [{domain=\"a\"}]\nkinds = [{name=\"k\", service=\"s\"}]\n",
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "d.toml")
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			_, err := Read(path)
			require.Error(t, err)
			assert.NotErrorIs(t, err, ErrOtherFormat)
		})
	}
}

func TestReadReportsOtherFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d.toml")
	require.NoError(t, os.WriteFile(path, []byte("name = \"x\"\n"), 0o600))
	_, err := Read(path)
	assert.ErrorIs(t, err, ErrOtherFormat)
}

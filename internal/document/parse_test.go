package document

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func exampleFiles(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func example(t testing.TB, name string) Document {
	t.Helper()
	source, err := os.ReadFile(filepath.Join("../../examples", name))
	require.NoError(t, err)
	d, err := Parse(source)
	require.NoError(t, err)
	return d
}

func TestExamplesAreValid(t *testing.T) {
	for _, file := range exampleFiles(t) {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		source = bytes.ReplaceAll(source, []byte("{key-hash}"), []byte(HashKey("demo"))) // scripts/demo.sh replaces it too
		d, err := Parse(source)
		require.NoError(t, err, file)
		body, err := Encode(d)
		require.NoError(t, err)
		again, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, Normalize(d), again)
		fromJSON, err := Parse(body)
		require.NoError(t, err, "canonical JSON is a valid source")
		require.Equal(t, Normalize(d), Normalize(fromJSON))
	}
}

func TestTrialAndProductionExamplesDifferOnlyInEnvironment(t *testing.T) {
	for _, user := range []string{"charter", "callbox"} {
		trial := example(t, user+"-trial.yaml")
		trial.Environment = "production"
		require.Equal(t, example(t, user+"-production.yaml"), trial)
	}
}

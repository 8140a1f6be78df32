package document

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that no source makes Parse panic, that every problem names a
// line of the source, and that a valid document is unchanged by encoding and decoding.
func FuzzParse(f *testing.F) {
	for _, file := range exampleFiles(f) {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte(editedSource("", "")))
	for _, text := range []string{
		"", "a: &a [*a]", "<<: *x", "? [a]\n: b", "{\"models\": [{}]}", "models: [null, 1, {}]", "\xff\xfe\x00\x00",
		"accounts: [{keyHashes: [~], serves: [1, {model: }]}]", "objectives: {stallTime: .nan}", "- !!binary x\n--- \n",
		"services: [{name: s, routes: [{path: /, methods: [GET, 1]}, {}]}]", "environment: !!str 1\nclasses: {a: b}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			var invalid *ValidationError
			require.True(t, errors.As(err, &invalid), "%T", err)
			require.NotEmpty(t, invalid.Problems)
			for _, p := range invalid.Problems {
				require.GreaterOrEqual(t, p.Line, 1, p)
				require.LessOrEqual(t, p.Line, 1+bytes.Count(text, []byte("\n")), p)
				require.NotEmpty(t, p.Remedy, p)
			}
			return
		}
		body, err := Encode(d)
		require.NoError(t, err)
		again, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, Normalize(d), again)
		require.NoError(t, Validate(again))
		NewIndex(Accepted{Document: again})
		require.Empty(t, Diff(d, again))
	})
}

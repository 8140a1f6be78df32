package docpage

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckFailsIfThePageIsNotCurrent(t *testing.T) {
	page := func(text string) func(io.Writer) error {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, text)
			return err
		}
	}
	path := filepath.Join(t.TempDir(), "page.md")
	require.Error(t, WriteOrCheck(path, true, page("one")), "the file does not exist")
	require.NoError(t, WriteOrCheck(path, false, page("one")))
	require.NoError(t, WriteOrCheck(path, true, page("one")))
	require.Error(t, WriteOrCheck(path, true, page("two")))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "one", string(text), "a check must not change the file")
}

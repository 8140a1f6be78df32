package docpage

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckFindsAPageThatIsNotCurrent(t *testing.T) {
	page := func(text string) func(io.Writer) error {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, text)
			return err
		}
	}
	path := filepath.Join(t.TempDir(), "page.md")
	require.Error(t, WriteOrCheck(path, true, page("one")), "it is not there")
	require.NoError(t, WriteOrCheck(path, false, page("one")))
	require.NoError(t, WriteOrCheck(path, true, page("one")))
	require.Error(t, WriteOrCheck(path, true, page("two")))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "one", string(text), "a check changes nothing")
}

package prove

import (
	"path/filepath"
	"testing"

	"corianderhitch/tests/harness"
)

// launch starts one of the programs under test and kills it when the test ends.
func launch(t testing.TB, dir, name, program string, args ...string) *harness.Process {
	t.Helper()
	p := &harness.Process{
		Name:    name,
		Path:    filepath.Join(programDir, program),
		Args:    args,
		LogPath: filepath.Join(dir, name+".log"),
	}
	p.Start(t)
	t.Cleanup(func() { p.KillAndShowLog(t) })
	return p
}

package drill_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill"
)

// earlierBuild is the commit of the last landing, whose hosts run beside those of this one in an upgrade.
const earlierBuild = "400c1c4"

// All rules hold while hosts of two builds run side by side, whichever of them is the newer one.
func TestOldAndNewBuildsSideBySide(t *testing.T) {
	earlier, current := buildEdgeOf(t, earlierBuild), buildEdge(t)
	for name, o := range map[string]drill.Options{
		"upgrade":  {EdgeBefore: earlier, EdgePath: current},
		"rollback": {EdgeBefore: current, EdgePath: earlier},
	} {
		t.Run(name, func(t *testing.T) {
			o.Only = []string{"rolling restart", "configuration", "release", "notice", "pause"}
			o.For = 12 * time.Second
			play(t, nil, o)
		})
	}
}

// buildEdgeOf builds the hosts' program of a commit of this repository.
func buildEdgeOf(t *testing.T, commit string) string {
	t.Helper()
	sources, path := t.TempDir(), filepath.Join(t.TempDir(), "edge")
	tree := exec.Command("sh", "-c", `git -C ../.. archive "$1" | tar -x -C "$2"`, "sh", commit, sources)
	out, err := tree.CombinedOutput()
	require.NoError(t, err, "%s", out)
	build := exec.Command("go", "build", "-o", path, "./cmd/edge")
	build.Dir = sources
	out, err = build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

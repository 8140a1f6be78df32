package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	knownRed   = "TestListed/seed-1 | go test ./a -run TestListed | what was seen | issue 1\n"
	listedLog  = "--- FAIL: TestListed (0.00s)\n    --- FAIL: TestListed/seed-1 (0.00s)\nFAIL\nFAIL\texample/a\t0.1s\n"
	failedCode = 2
)

func TestKnownRedPassesOverListedTestsOnly(t *testing.T) {
	for name, test := range map[string]struct {
		log  string
		mode string
		pass bool
	}{
		"a listed test": {listedLog, "packages", true},
		"a listed test, with output of compilers": {"# math\nfmahash triggered\n# runtime\n" + listedLog, "packages", true},
		"another test":                           {"--- FAIL: TestOther (0.00s)\nFAIL\nFAIL\texample/a\t0.1s\n", "packages", false},
		"another case of a listed test":          {"--- FAIL: TestListed (0.00s)\n    --- FAIL: TestListed/seed-2 (0.00s)\nFAIL\texample/a\t0.1s\n", "packages", false},
		"beside a package that does not build":   {"# example/b\nb.go:3: undefined: x\n" + listedLog + "FAIL\texample/b [build failed]\n", "packages", false},
		"beside a package without its modules":   {listedLog + "FAIL\texample/b [setup failed]\n", "packages", false},
		"beside a package without a failed test": {listedLog + "FAIL\texample/b\t0.1s\n", "packages", false},
		"beside a panic":                         {listedLog + "panic: runtime error\n", "packages", false},
		"beside a data race":                     {listedLog + "WARNING: DATA RACE\n", "packages", false},
		"a single package that ended":            {listedLog + "1 passed, 1 failed\n", "", true},
		"a single package that broke off":        {listedLog, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			code := judge(t, test.log, test.mode)
			if test.pass {
				require.Zero(t, code)
			} else {
				require.Equal(t, failedCode, code)
			}
		})
	}
}

// judge returns the exit code of the script for the log of a failed run.
func judge(t *testing.T, log, mode string) int {
	root := t.TempDir()
	script, err := os.ReadFile("known-red.sh")
	require.NoError(t, err)
	path := filepath.Join(root, "scripts", "known-red.sh")
	require.NoError(t, os.Mkdir(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, script, 0o755)) //nolint:gosec // a script is executable
	require.NoError(t, os.WriteFile(filepath.Join(root, "KNOWN-RED.txt"), []byte(knownRed), 0o600))
	logPath := filepath.Join(root, "test.log")
	require.NoError(t, os.WriteFile(logPath, []byte(log), 0o600))
	command := exec.Command(path, logPath, "2", mode)
	if err := command.Run(); err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		return exit.ExitCode()
	}
	return 0
}

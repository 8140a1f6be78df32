// Package clients starts real edge processes on loopback and lets a small crowd of hostile clients at
// them. Each test checks that the process lives, stays within its memory and descriptors, and answers an
// ordinary request while the crowd is there. The tests check neither times nor shares of served requests,
// and run one at a time.
package clients

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"corianderhitch/tests/harness"
)

var edgePath string // the program under test, built by TestMain

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clients")
	if err == nil {
		err = harness.ClaimPorts()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	edgePath = filepath.Join(dir, "edge")
	if out, err := exec.Command("go", "build", "-o", edgePath, "corianderhitch/cmd/edge").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

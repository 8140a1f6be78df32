// Package soak runs edge processes before stand-ins of the users' platform,
// injects faults from outside them in a random series that a seed draws, and
// checks what callers and targets saw against the platform's promises.
package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

var (
	seed     = flag.Uint64("seed", 1, "seed of the faults")
	lasts    = flag.Duration("for", 8*time.Second, "how long faults are injected")
	hosts    = flag.Int("hosts", 4, "edge processes")
	callers  = flag.Int("callers", 8, "callers a host, each with one kept connection")
	edgePath string // the program under test, built by TestMain
	ctlPath  string // the operators' command line, built by TestMain
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err == nil {
		err = harness.ClaimPorts()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	edgePath, ctlPath = filepath.Join(dir, "edge"), filepath.Join(dir, "hitchctl")
	if out, err := exec.Command("go", "build", "-o", dir, "corianderhitch/cmd/edge", "corianderhitch/cmd/hitchctl").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak plays the seed of the command line.
func TestSoak(t *testing.T) {
	t.Parallel()
	play(t, *seed, *lasts)
}

// play runs one world through its faults and checks what was seen.
func play(t *testing.T, seed uint64, lasts time.Duration) {
	w := newWorld(t, seed, *hosts)
	traffic := w.call()
	time.Sleep(warmUp)
	w.disturb(lasts)
	w.heal()
	time.Sleep(recoverWithin)
	w.recovered = time.Now()
	time.Sleep(calmEnd)
	traffic.stop()
	w.stopHosts()
	w.check(traffic.outcomes())
}

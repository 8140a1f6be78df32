// Package soak runs edge processes against stand-ins of the users' platform, injects
// a random series of faults that a seed determines, and checks what callers and
// targets observed against the platform's guarantees.
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

var (
	seed           = flag.Uint64("seed", 1, "seed of the faults")
	faultDuration  = flag.Duration("for", 8*time.Second, "how long faults are injected")
	hostCount      = flag.Int("hosts", 4, "edge processes")
	callersPerHost = flag.Int("callers", 8, "callers per host, each with one persistent connection")
	edgeBinary     = flag.String("edge", "", "edge program to test instead of the one that is built from this tree")
	goOn           = flag.Bool("go-on", false, "engines go on with a run whose connection has closed")
	edgePath       string // the program under test, built by TestMain unless -edge is set
	ctlPath        string // the operators' command line, built by TestMain
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
	if *edgeBinary != "" {
		edgePath = *edgeBinary
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak runs the seed that the -seed flag gives.
func TestSoak(t *testing.T) {
	t.Parallel()
	runSeed(t, *seed, *faultDuration)
}

// runSeed starts a cluster under traffic, injects faults for the given time, lets
// the cluster recover, and checks what callers and targets observed.
func runSeed(t *testing.T, seed uint64, duration time.Duration) {
	c := newCluster(t, seed, *hostCount)
	traffic := c.startTraffic()
	time.Sleep(warmUp)
	var restores sync.WaitGroup
	restores.Go(func() { c.injectRestores(seed, duration) })
	restores.Go(func() { c.injectStatements(seed, duration) })
	restores.Go(func() { c.injectLimits(seed, duration) })
	restores.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		c.injectSilences(ctx, seed)
	})
	restores.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		c.injectAilingCalls(ctx, seed)
	})
	c.injectFaults(duration)
	restores.Wait()
	c.endFaults()
	time.Sleep(recoveryBound)
	c.recoveredAt = time.Now()
	time.Sleep(recoveryWindow)
	traffic.stop()
	c.stopHosts()
	c.checkGuarantees(traffic.outcomes())
}

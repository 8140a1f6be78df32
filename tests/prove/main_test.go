// Package prove runs the deployment as separate processes that communicate through
// fault-injecting proxies, injects faults, and checks what callers received and what
// the stand-ins of targets and store recorded.
package prove

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

// programDir holds the programs under test, built by TestMain.
var programDir string

// seed determines the times and the choice of faults.
var seed = flag.Int64("seed", 1, "seed of fault moments and fault pairs")

// report collects one line per property and fault.
var report struct {
	sync.Mutex
	lines          []string
	passed, failed int
}

func TestMain(m *testing.M) {
	flag.Parse()
	started := time.Now()
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := harness.ClaimPorts(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "corianderhitch/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	built := time.Now()
	code := m.Run()
	printReport()
	fmt.Printf("programs built in %s, tests took %s\n", built.Sub(started).Round(time.Second), time.Since(built).Round(time.Second))
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func printReport() {
	sort.Strings(report.lines)
	for _, line := range report.lines {
		fmt.Println(line)
	}
	if pairTotals.faults > 0 {
		fmt.Printf("pairs: %d faults, %d requests in flight, %d tokens checked, %d calls checked, slowest recovery %s\n",
			pairTotals.faults, pairTotals.inFlight, pairTotals.tokens, pairTotals.calls, pairTotals.slowest.Round(10*time.Millisecond))
	}
	fmt.Printf("seed %d\n%d passed, %d failed\n", *seed, report.passed, report.failed)
}

// recordResult adds the line of one property under one fault to the report when the
// test ends. summary may be set until then; it says what was measured.
func recordResult(t *testing.T, property, fault string, summary *string) {
	t.Cleanup(func() {
		report.Lock()
		defer report.Unlock()
		status := "PASS"
		if t.Failed() {
			status = "FAIL"
			report.failed++
		} else {
			report.passed++
		}
		report.lines = append(report.lines, fmt.Sprintf("%s  %-28s %-44s %s", status, property, fault, *summary))
	})
}

package drill

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/drill/judge"
	"corianderhitch/internal/drill/record"
)

const (
	maxCaseRequests = 3  // requests of a case whose log lines are printed
	maxLogLines     = 12 // of a request
)

// printVerdict prints the broken rules of a run with the hosts' log lines that name their
// requests, and returns how many there are.
func printVerdict(w io.Writer, run *record.Run, dir string) int {
	violations := judge.Judge(run)
	for n, v := range violations {
		fmt.Fprintf(w, "\n##### Case %d. Deployment %s.\n+%.3f %s %s\n", n+1, run.Deployment.Name, v.At.Sub(run.Began).Seconds(), v.Rule, v.Text)
		for i, id := range v.Requests {
			if i == maxCaseRequests {
				break
			}
			for _, line := range logLines(dir, id) {
				fmt.Fprintln(w, " ", line)
			}
		}
	}
	rules := make(map[judge.Rule]int)
	for _, v := range violations {
		rules[v.Rule]++
	}
	fmt.Fprintf(w, "broken rules: %d %v\n", len(violations), rules)
	fmt.Fprintln(w, "at work at two engines:", judge.TimeAtTwo(run))
	for _, f := range judge.Figures(run) {
		fmt.Fprintf(w, "%s %s: %g", f.Name, f.Subject, f.Value)
		if f.Bound > 0 {
			fmt.Fprintf(w, " of %.1f", f.Bound)
		}
		fmt.Fprintln(w)
	}
	return len(violations)
}

// logLines returns the first lines of the hosts' logs that name a request.
func logLines(dir, id string) []string {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil
	}
	var out []string
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() && len(out) < maxLogLines {
			if strings.Contains(lines.Text(), id) {
				out = append(out, strings.TrimSuffix(filepath.Base(path), ".log")+" "+lines.Text())
			}
		}
		_ = file.Close()
	}
	return out
}

// readRecord reads the record of a run.
func readRecord(path string) (*record.Run, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "record")
	}
	var run record.Run
	return &run, eris.Wrapf(json.Unmarshal(raw, &run), "record %s", path)
}

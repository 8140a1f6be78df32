package capacity

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// process is a process that is measured.
type process struct {
	pid     int
	metrics string // URL of its metrics; empty for none
}

// reading is what a process shows at one moment.
type reading struct {
	state    processState
	rpcBytes float64
}

// parseProcess reads "pid", "file" or "file=metrics URL", where the file holds
// a process id.
func parseProcess(text string) (process, error) {
	name, metrics, _ := strings.Cut(text, "=")
	if pid, err := strconv.Atoi(name); err == nil {
		return process{pid: pid, metrics: metrics}, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return process{}, eris.Wrap(err, "--process must be a process id or a file that holds one")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil {
		return process{}, eris.Wrapf(err, "%s holds no process id", name)
	}
	return process{pid: pid, metrics: metrics}, nil
}

func readAll(ctx context.Context, processes []process) ([]reading, error) {
	readings := make([]reading, len(processes))
	for i, p := range processes {
		state, err := readProcess(p.pid)
		if err != nil {
			return nil, err
		}
		readings[i].state = state
		if p.metrics == "" {
			continue
		}
		if readings[i].rpcBytes, err = rpcBytes(ctx, p.metrics); err != nil {
			return nil, err
		}
	}
	return readings, nil
}

// rpcMetric is the counter of net/rpc bytes as the Prometheus exporter names it.
const rpcMetric = "hitch_agent_rpc_bytes_total"

// rpcBytes sums the net/rpc bytes in both directions from a metrics page.
func rpcBytes(ctx context.Context, url string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "--process has a bad metrics URL")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "cannot read the metrics of a process")
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, rpcMetric) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err == nil {
			sum += value
		}
	}
	return sum, scanner.Err()
}

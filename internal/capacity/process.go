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
type measuredProcess struct {
	pid        int
	metricsURL string // URL of its metrics; empty for none
}

// reading is what a process shows at one moment.
type processSample struct {
	state    procStats
	rpcBytes float64
}

// parseProcess reads "pid", "file" or "file=metrics URL", where the file holds
// a process id.
func parseProcess(text string) (measuredProcess, error) {
	name, metrics, _ := strings.Cut(text, "=")
	if pid, err := strconv.Atoi(name); err == nil {
		return measuredProcess{pid: pid, metricsURL: metrics}, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return measuredProcess{}, eris.Wrap(err, "--process must be a process id or a file that holds one")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil {
		return measuredProcess{}, eris.Wrapf(err, "%s holds no process id", name)
	}
	return measuredProcess{pid: pid, metricsURL: metrics}, nil
}

func sampleAll(ctx context.Context, processes []measuredProcess) ([]processSample, error) {
	readings := make([]processSample, len(processes))
	for i, p := range processes {
		state, err := readProcStats(p.pid)
		if err != nil {
			return nil, err
		}
		readings[i].state = state
		if p.metricsURL == "" {
			continue
		}
		if readings[i].rpcBytes, err = readRPCBytes(ctx, p.metricsURL); err != nil {
			return nil, err
		}
	}
	return readings, nil
}

// rpcMetric is the counter of net/rpc bytes as the Prometheus exporter names it.
const rpcBytesMetric = "hitch_agent_rpc_bytes_total"

// rpcBytes sums the net/rpc bytes in both directions from a metrics page.
func readRPCBytes(ctx context.Context, url string) (float64, error) {
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
		if !strings.HasPrefix(line, rpcBytesMetric) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err == nil {
			sum += value
		}
	}
	return sum, scanner.Err()
}

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

// measuredProcess is a process whose usage is measured.
type measuredProcess struct {
	pid        int
	metricsURL string // empty if net/rpc bytes are not counted
}

// processSample holds the cumulative counters and memory of a process at one moment.
type processSample struct {
	stats    procStats
	rpcBytes float64
}

// parseProcess parses a --process value: "pid" or "file", where the file contains a
// process id, optionally followed by "=" and the URL of the process's metrics.
func parseProcess(text string) (measuredProcess, error) {
	name, metrics, _ := strings.Cut(text, "=")
	if pid, err := strconv.Atoi(name); err == nil {
		return measuredProcess{pid: pid, metricsURL: metrics}, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return measuredProcess{}, eris.Wrap(err, "--process must be a process id or a file that contains one")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil {
		return measuredProcess{}, eris.Wrapf(err, "%s does not contain a process id", name)
	}
	return measuredProcess{pid: pid, metricsURL: metrics}, nil
}

// sampleAll reads the current counters of all processes.
func sampleAll(ctx context.Context, processes []measuredProcess) ([]processSample, error) {
	samples := make([]processSample, len(processes))
	for i, p := range processes {
		stats, err := readProcStats(p.pid)
		if err != nil {
			return nil, err
		}
		samples[i].stats = stats
		if p.metricsURL == "" {
			continue
		}
		if samples[i].rpcBytes, err = readRPCBytes(ctx, p.metricsURL); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

// rpcBytesMetric is the exported name of the counter of net/rpc bytes.
const rpcBytesMetric = "hitch_agent_rpc_bytes_total"

// readRPCBytes reads a process's metrics and sums the net/rpc bytes of both
// directions.
func readRPCBytes(ctx context.Context, url string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "--process has an invalid metrics URL")
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

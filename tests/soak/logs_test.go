package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"corianderhitch/tests/harness"
)

// maxResidentBytes bounds the resident memory of a host's process at low load.
const maxResidentBytes = 60 << 20

// pipe returns both ends of a pipe of the smallest capacity, closed with the test.
func pipe(t testing.TB) (reader, writer *os.File) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reader.Close(); _ = writer.Close() })
	_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	require.NoError(t, err)
	return reader, writer
}

// TestStalledStandardOutputDoesNotBlockRequests guards against requests that wait for
// a log line to be written: when nobody reads standard output, its pipe fills up and
// every further write blocks. Lines must be dropped instead. Queued lines must not use
// up memory either, the number of dropped lines must be logged once lines are read
// again, and a planned stop must end within the grace period.
func TestStalledStandardOutputDoesNotBlockRequests(t *testing.T) {
	const stalled = 10 * time.Second // after the first lines were dropped
	lines, out := pipe(t)
	c := newCluster(t, 1, 1, func(p *harness.Process) { p.Stdout = out })
	h := c.hosts[0]
	require.NoError(t, out.Close()) // the process has its own copy of the writing end
	traffic := c.startTraffic()
	harness.Await(t, harness.DrainTimeout, "dropped log lines", func() bool { return h.gauge("hitch_edge_log_lines_dropped") > 0 })
	time.Sleep(stalled)
	require.Less(t, residentBytes(t, h.process.PID()), maxResidentBytes)
	var reported atomic.Bool
	var reader sync.WaitGroup
	reader.Go(func() {
		for scanner := bufio.NewScanner(lines); scanner.Scan(); {
			if strings.Contains(scanner.Text(), "lines dropped because standard output is slow") {
				reported.Store(true)
				return
			}
		}
	})
	require.Eventually(t, reported.Load, harness.DrainTimeout, harness.PollInterval)
	reader.Wait() // nobody reads from here on
	time.Sleep(time.Second)
	traffic.stop()
	outcomes := traffic.outcomes()
	require.Greater(t, len(outcomes), 200)
	for i := range outcomes {
		require.Equal(t, http.StatusOK, outcomes[i].status, outcomes[i].id)
		require.Empty(t, outcomes[i].checkComplete())
		require.Less(t, outcomes[i].ended.Sub(outcomes[i].sent), 4*time.Second)
	}
	stopStarted := time.Now()
	c.stopHosts()
	require.Less(t, time.Since(stopStarted), gracePeriod, "the process was killed at the end of its grace period")
}

// gauge returns the first metric of the process whose name begins with name, 0 if
// there is none.
func (h *host) gauge(name string) float64 {
	response, err := http.Get("http://" + h.readinessAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); len(fields) == 2 && strings.HasPrefix(fields[0], name) {
			value, _ := strconv.ParseFloat(fields[1], 64)
			return value
		}
	}
	return 0
}

// residentBytes returns the resident memory of a process.
func residentBytes(t testing.TB, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	require.NoError(t, err)
	return pages * os.Getpagesize()
}

// BenchmarkLogs reports a host's processor time, memory and log bytes at one and at
// five times the normal load of a host of a small deployment.
func BenchmarkLogs(b *testing.B) {
	for _, load := range []int{1, 5} {
		for _, level := range []string{"info", "error"} {
			b.Run(fmt.Sprintf("load=%d/level=%s", load, level), func(b *testing.B) {
				for range b.N {
					benchmarkLogs(b, load, level)
				}
			})
		}
	}
}

func benchmarkLogs(b *testing.B, load int, level string) {
	const duration = 10 * time.Second
	lines, out := pipe(b)
	c := newCluster(b, 1, 1, func(p *harness.Process) { p.Stdout, p.Args = out, append(p.Args, "--log-level", level) })
	_ = out.Close()
	var logBytes atomic.Int64
	go func() {
		n, _ := io.Copy(io.Discard, lines) // returns when the process exits
		logBytes.Store(n)
	}()
	var wait sync.WaitGroup
	// One host's share of the load of a small deployment: long streams, short
	// streams, calls.
	for _, kind := range []struct {
		route, method string
		perSecond     float64
		events        int
	}{{"draft", http.MethodPost, 0.78, 232}, {"draft", http.MethodPost, 1.1, 3}, {"hold", http.MethodPost, 5.3, 0}, {"check", http.MethodGet, 2.1, 0}} {
		wait.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / kind.perSecond / float64(load)))
			defer ticker.Stop()
			for n := 0; n < int(kind.perSecond*float64(load)*duration.Seconds()); n++ {
				<-ticker.C
				wait.Go(func() {
					o := outcome{id: fmt.Sprintf("%s-%d-%d", kind.route, kind.events, n), route: kind.route, host: c.hosts[0], key: "key-1", events: kind.events}
					o.send(http.DefaultClient, kind.method)
				})
			}
		})
	}
	wait.Wait()
	b.ReportMetric(float64(residentBytes(b, c.hosts[0].process.PID()))/(1<<20), "MB")
	c.stopHosts()
	b.ReportMetric(c.hosts[0].process.CPUTime().Seconds()/duration.Seconds()*1000, "cpu-ms/s")
	b.ReportMetric(float64(logBytes.Load())/duration.Seconds(), "log-B/s")
}

// BenchmarkScrape reports the time and the size of one read of a host's metrics after
// traffic.
func BenchmarkScrape(b *testing.B) {
	c := newCluster(b, 1, 1)
	traffic := c.startTraffic()
	time.Sleep(warmUp)
	traffic.stop()
	size := 0
	for b.Loop() {
		response, err := http.Get("http://" + c.hosts[0].readinessAddress + "/metrics")
		require.NoError(b, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(b, err)
		_ = response.Body.Close()
		size = len(text)
	}
	b.ReportMetric(float64(size), "B")
}

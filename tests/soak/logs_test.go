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

// maxHostBytes is what a host's process may hold in memory at calm load.
const maxHostBytes = 60 << 20

// pipe returns both ends of a pipe that is closed with the test.
func pipe(t testing.TB) (r, w *os.File) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Close(); _ = w.Close() })
	_, err = unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()) // the least that there is
	require.NoError(t, err)
	return r, w
}

// Nobody reads standard output: requests go on as before, memory stays bounded,
// what was left out is counted once lines are read again, and a planned stop ends
// in time.
func TestStalledStandardOutputHoldsNothingUp(t *testing.T) {
	const stalled = 10 * time.Second // after the first lines were dropped
	lines, out := pipe(t)
	w := newWorld(t, 1, 1, func(p *harness.Process) { p.Out = out })
	h := w.hosts[0]
	require.NoError(t, out.Close()) // the process holds its own end
	traffic := w.call()
	harness.Await(t, harness.DrainLimit, "lines that are dropped", func() bool { return h.gauge("hitch_edge_log_lines_dropped") > 0 })
	time.Sleep(stalled)
	require.Less(t, resident(t, h.process.PID()), maxHostBytes)
	var told atomic.Bool
	var read sync.WaitGroup
	read.Go(func() {
		for scanner := bufio.NewScanner(lines); scanner.Scan(); {
			if strings.Contains(scanner.Text(), "lines dropped because standard output is slow") {
				told.Store(true)
				return
			}
		}
	})
	require.Eventually(t, told.Load, harness.DrainLimit, harness.PollInterval)
	read.Wait() // from here on nobody reads again
	time.Sleep(time.Second)
	traffic.stop()
	all := traffic.outcomes()
	require.Greater(t, len(all), 200)
	for i := range all {
		require.Equal(t, http.StatusOK, all[i].status, all[i].id)
		require.Empty(t, all[i].whole())
		require.Less(t, all[i].ended.Sub(all[i].sent), 4*time.Second)
	}
	begun := time.Now()
	w.stopHosts()
	require.Less(t, time.Since(begun), grace, "the process was killed at the end of its grace period")
}

// gauge returns a value from the metrics of the process, 0 if it has none.
func (h *host) gauge(name string) float64 {
	response, err := http.Get("http://" + h.readyAt + "/metrics")
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

// resident returns the memory of a process in bytes.
func resident(t testing.TB, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	require.NoError(t, err)
	return pages * os.Getpagesize()
}

// BenchmarkLogs reports the processor time and the bytes of a host's log at the
// calm load of one host of the small deployments, and at five times that.
func BenchmarkLogs(b *testing.B) {
	for _, load := range []int{1, 5} {
		for _, level := range []string{"info", "error"} {
			b.Run(fmt.Sprintf("load=%d/level=%s", load, level), func(b *testing.B) {
				for range b.N {
					logs(b, load, level)
				}
			})
		}
	}
}

func logs(b *testing.B, load int, level string) {
	const long = 10 * time.Second
	lines, out := pipe(b)
	w := newWorld(b, 1, 1, func(p *harness.Process) { p.Out, p.Args = out, append(p.Args, "--log-level", level) })
	_ = out.Close()
	var bytes atomic.Int64
	go func() {
		n, _ := io.Copy(io.Discard, lines) // ends with the process
		bytes.Store(n)
	}()
	var wait sync.WaitGroup
	// A host's share of the small deployments: drafts, short streams, calls.
	for _, kind := range []struct {
		route, method string
		perSecond     float64
		events        int
	}{{"draft", http.MethodPost, 0.78, 232}, {"draft", http.MethodPost, 1.1, 3}, {"hold", http.MethodPost, 5.3, 0}, {"check", http.MethodGet, 2.1, 0}} {
		wait.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / kind.perSecond / float64(load)))
			defer ticker.Stop()
			for n := 0; n < int(kind.perSecond*float64(load)*long.Seconds()); n++ {
				<-ticker.C
				wait.Go(func() {
					o := outcome{id: fmt.Sprintf("%s-%d-%d", kind.route, kind.events, n), route: kind.route, host: w.hosts[0], key: "key-1", events: kind.events}
					o.run(http.DefaultClient, kind.method)
				})
			}
		})
	}
	wait.Wait()
	b.ReportMetric(float64(resident(b, w.hosts[0].process.PID()))/(1<<20), "MB")
	w.stopHosts()
	b.ReportMetric(w.hosts[0].process.CPU().Seconds()/long.Seconds()*1000, "cpu-ms/s")
	b.ReportMetric(float64(bytes.Load())/long.Seconds(), "log-B/s")
}

// BenchmarkScrape reports the cost of reading the metrics of a busy host once.
func BenchmarkScrape(b *testing.B) {
	w := newWorld(b, 1, 1)
	traffic := w.call()
	time.Sleep(warmUp)
	traffic.stop()
	size := 0
	for b.Loop() {
		response, err := http.Get("http://" + w.hosts[0].readyAt + "/metrics")
		require.NoError(b, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(b, err)
		_ = response.Body.Close()
		size = len(text)
	}
	b.ReportMetric(float64(size), "B")
}

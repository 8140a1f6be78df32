package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledWriter is an output that blocks every write until it is released.
type stalledWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

func TestStalledOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 50 * queueLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	dropped := w.Dropped()
	close(out.release)
	w.Close()
	written := strings.Count(out.out.String(), "line ")
	for _, report := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(out.out.String(), -1) {
		n, err := strconv.Atoi(report[1])
		require.NoError(t, err)
		dropped += int64(n)
	}
	require.GreaterOrEqual(t, dropped, int64(lines-written), "each line is written or reported as dropped")
	const shortest = len("line 0\n")
	require.LessOrEqual(t, written, 2*(queueLines+maxBatchBytes/shortest))
	require.Contains(t, out.out.String(), "lines dropped because standard output is slow")
}

// Callers choose the paths that lines bear: 512 lines of 16 KB and more waited for a slow output.
func TestLongLinesAreBoundedByTheirSize(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	w := NewWriter(out)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range queueLines {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, w.queued.Load(), int64(queueBytes))
	require.GreaterOrEqual(t, w.Dropped(), int64(queueLines-queueBytes/len(line)-2))
	close(out.release)
	w.Close()
	require.Zero(t, w.queued.Load())
}

func TestSamplerLimitsAMessageAndReportsOmittedLines(t *testing.T) {
	var out bytes.Buffer
	s := NewSampler(slog.NewJSONHandler(&out, nil))
	at := time.Unix(1000, 0)
	emit := func(level slog.Level, message string) {
		require.NoError(t, s.Handle(t.Context(), slog.NewRecord(at, level, message, 0)))
	}
	for range 3 * routineLinesPerSecond {
		emit(slog.LevelInfo, "routine")
		emit(slog.LevelWarn, "failure")
	}
	require.Equal(t, routineLinesPerSecond, strings.Count(out.String(), `"routine"`))
	require.Equal(t, failureLinesPerSecond, strings.Count(out.String(), `"failure"`))
	at = at.Add(time.Second)
	out.Reset()
	emit(slog.LevelInfo, "routine")
	require.Contains(t, out.String(), fmt.Sprintf(`"lines_left_out":%d`, 2*routineLinesPerSecond))
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	_, err := io.WriteString(w, "last\n")
	require.NoError(t, err)
	w.Close()
	require.Equal(t, "last\n", out.String())
}

// A process must end even if nobody reads its standard output.
func TestCloseDoesNotWaitForAStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewWriter(out)
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		closeStarted := time.Now()
		w.Close()
		require.Equal(t, closeTimeout, time.Since(closeStarted))
		close(out.release)
	})
}

// A panic in net/http's own log line about a panic of a handler ends the process.
func TestLineAfterCloseCrashesProcess(t *testing.T) {
	w := NewWriter(io.Discard)
	w.Close()
	require.NotPanics(t, func() { _, _ = io.WriteString(w, "late\n") })
}

func TestLineDuringCloseCrashesProcess(t *testing.T) {
	w := NewWriter(io.Discard)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 1000 {
				_, err := w.Write([]byte("line\n"))
				assert.NoError(t, err)
			}
		})
	}
	w.Close()
	writers.Wait()
	w.Close()
}

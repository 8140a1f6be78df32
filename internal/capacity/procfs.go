package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockTicksPerSecond is the unit of CPU times in /proc/<pid>/stat.
	clockTicksPerSecond = 100
	// Indexes of fields of /proc/<pid>/stat, counted from the first field after the program
	// name.
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// procStats are the values that /proc reports for a process.
type procStats struct {
	cpuTime       time.Duration // user and system time since the start of the process
	residentBytes int64         // resident set size
	bytesRead     int64         // by read calls, including those on sockets
	bytesWritten  int64         // by write calls, including those on sockets
}

// readProcStats reads the values of a running process.
func readProcStats(pid int) (procStats, error) {
	var s procStats
	stat, err := os.ReadFile(procPath(pid, "stat"))
	if err != nil {
		return s, eris.Wrapf(err, "cannot read process %d; check that it runs", pid)
	}
	if s.cpuTime, err = parseCPUTime(stat); err != nil {
		return s, err
	}
	status, err := readNumericFields(procPath(pid, "status"))
	if err != nil {
		return s, err
	}
	io, err := readNumericFields(procPath(pid, "io"))
	if err != nil {
		return s, err
	}
	s.residentBytes = status["VmRSS"] << 10 // VmRSS is in KiB
	s.bytesRead, s.bytesWritten = io["rchar"], io["wchar"]
	return s, nil
}

// parseCPUTime returns the sum of user and system time in the content of
// /proc/<pid>/stat.
func parseCPUTime(stat []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(stat, ')') // the program name may contain spaces
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) <= fieldSystemTime {
		return 0, eris.New("capacity: /proc/<pid>/stat has too few fields; run on Linux")
	}
	ticks := int64(0)
	for _, i := range []int{fieldUserTime, fieldSystemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "capacity: /proc/<pid>/stat has an unknown format; run on Linux")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// readNumericFields reads a file of lines "name: number unit". It skips lines whose
// value is not an integer.
func readNumericFields(path string) (map[string]int64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot read %s", path)
	}
	numbers := make(map[string]int64)
	for line := range strings.Lines(string(content)) {
		name, rest, _ := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
			numbers[name] = n
		}
	}
	return numbers, nil
}

// loadAverage returns the machine's load average over the last minute, or 0 if it
// cannot be read.
func loadAverage() float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var average float64
	_, _ = fmt.Sscan(string(content), &average)
	return average
}

func procPath(pid int, file string) string { return fmt.Sprintf("/proc/%d/%s", pid, file) }

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
	// ticksPerSecond is the unit of processor times in /proc/<pid>/stat.
	clockTicksPerSecond = 100
	// Fields of /proc/<pid>/stat after the name of the program.
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// processState is what /proc tells of a process at one moment.
type procStats struct {
	cpuTime       time.Duration // user and system time since its start
	residentBytes int64         // bytes
	bytesRead     int64         // bytes that read calls returned, of sockets too
	bytesWritten  int64         // bytes that write calls took, to sockets too
}

// readProcess reads the state of a process.
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
	s.residentBytes = status["VmRSS"] << 10 // kB
	s.bytesRead, s.bytesWritten = io["rchar"], io["wchar"]
	return s, nil
}

// processorTime takes user and system time from the content of /proc/<pid>/stat.
func parseCPUTime(stat []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(stat, ')') // the name may hold spaces
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) <= fieldSystemTime {
		return 0, eris.New("capacity: /proc/<pid>/stat has too few fields; run on Linux")
	}
	ticks := int64(0)
	for _, i := range []int{fieldUserTime, fieldSystemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "capacity: /proc/<pid>/stat has an unknown form; run on Linux")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// readNumbers reads a file of lines "name: number unit".
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

// loadAverage returns the load average of the machine over the last minute.
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

package prove

import (
	"bufio"
	"strconv"
	"strings"
)

// metric reads the first sample of a metric, with or without labels, from a process's
// /metrics. It returns false if the process or the metric is unavailable.
func metric(url, name string) (int64, bool) {
	response, err := client.Get(url + "/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, name+"{") && !strings.HasPrefix(line, name+" ") {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		return int64(value), err == nil
	}
	return 0, false
}

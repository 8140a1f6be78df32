package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/experiment"
)

// readExperimentResults reads the results from the output of "hitchload experiment". It
// skips lines that are not the result of one seed.
func readExperimentResults(path string) ([]experiment.Result, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the output of an experiment; redirect \"hitchload experiment\" into the file first")
	}
	var results []experiment.Result
	scanner := bufio.NewScanner(bytes.NewReader(content))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		var r experiment.Result
		if !bytes.HasPrefix(line, []byte("{")) || json.Unmarshal(line, &r) != nil || r.Offered == 0 {
			continue
		}
		results = append(results, r)
	}
	if len(results) == 0 {
		return nil, eris.Errorf("%s contains no results of \"hitchload experiment\"", path)
	}
	return results, scanner.Err()
}

// policyNames lists the policies in the order of their first result.
func policyNames(results []experiment.Result) []string {
	var names []string
	for _, r := range results {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	return names
}

// medianPerPolicy returns, for each policy, the median of a metric over the seeds.
func medianPerPolicy(results []experiment.Result, policies []string, metric func(*experiment.Result) float64) []float64 {
	medians := make([]float64, len(policies))
	for i, policy := range policies {
		var values []float64
		for j := range results {
			if results[j].Policy == policy {
				values = append(values, metric(&results[j]))
			}
		}
		slices.Sort(values)
		medians[i] = values[len(values)/2]
	}
	return medians
}

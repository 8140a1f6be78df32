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

// readExperiment reads the results from what "hitchload experiment" printed.
// Lines that hold no result of one seed are passed over.
func readExperimentResults(path string) ([]experiment.Result, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read an experiment; run \"hitchload experiment\" into the file first")
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
		return nil, eris.Errorf("%s holds no result of an experiment", path)
	}
	return results, scanner.Err()
}

// policiesOf lists the policies in their order.
func policyNames(results []experiment.Result) []string {
	var names []string
	for _, r := range results {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	return names
}

// medianOf returns the median over the seeds of each policy.
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

package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// Compare runs the named policies, or those of Policies if names is empty, for a number of
// seeds from seed on. It prints one JSON line per policy and seed, a summary per policy if
// there are several seeds, and the results of CheckCriteria.
func Compare(w io.Writer, s *Scenario, seed uint64, seeds int, names []string) error {
	specs, err := choosePolicies(s, names)
	if err != nil {
		return err
	}
	capacity := Capacity(s)
	_, err = fmt.Fprintf(w, "# capacity %.1f requests/s, %.0f tokens/s, %.1f sequences an engine; offered %.2f of it\n",
		capacity.RequestsPerSecond, capacity.TokensPerSecond, capacity.BatchSize, s.Load)
	if err != nil {
		return eris.Wrap(err, "print the capacity; check the output")
	}
	var all []Result
	for i := range max(1, seeds) {
		results := runAll(s, specs, seed+uint64(i))
		all = append(all, results...)
		if err := printJSON(w, results); err != nil {
			return err
		}
	}
	if seeds > 1 {
		if err := printSummary(w, summarize(all, specs)); err != nil {
			return err
		}
	}
	return printCriteria(w, CheckCriteria(s, all))
}

// choosePolicies returns the named policies, or those of Policies if names is empty, with
// the variants that the scenario compares.
func choosePolicies(s *Scenario, names []string) ([]PolicySpec, error) {
	chosen, err := namedPolicies(names)
	if err != nil {
		return nil, err
	}
	var variants []PolicySpec
	for _, spec := range chosen {
		variants = append(variants, spec.variants(s)...)
	}
	return variants, nil
}

func namedPolicies(names []string) ([]PolicySpec, error) {
	all := Policies()
	if len(names) == 0 {
		return all, nil
	}
	all = append(all, OptInPolicies()...)
	var chosen []PolicySpec
	for _, name := range names {
		i := slices.IndexFunc(all, func(p PolicySpec) bool { return p.Name == name })
		if i < 0 {
			return nil, eris.Errorf("unknown policy %q; run without --policies to see the names", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// parallelRuns is the number of policies that run concurrently. Each run is
// deterministic by itself.
const parallelRuns = 4

// runAll runs the policies with the same arrivals. If the scenario has a surge, it
// also measures their lookup latency without the surge.
func runAll(s *Scenario, specs []PolicySpec, seed uint64) []Result {
	arrivals := Arrivals(s, seed)
	noSurge := withoutSurge(s)
	var noSurgeArrivals []Arrival
	if noSurge != nil {
		noSurgeArrivals = Arrivals(noSurge, seed)
	}
	results := make([]Result, len(specs))
	semaphore := make(chan struct{}, parallelRuns)
	var group sync.WaitGroup
	for i, spec := range specs {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i] = Run(s, spec, seed, arrivals)
			if noSurge != nil {
				results[i].lookupWithoutSurgeMS = Run(noSurge, spec, seed, noSurgeArrivals).LookupP99MS
			}
		})
	}
	group.Wait()
	return results
}

// withoutSurge returns the scenario without its surge, or nil if it has none.
func withoutSurge(s *Scenario) *Scenario {
	if s.Surge == nil {
		return nil
	}
	without := *s
	without.Surge = nil
	return &without
}

func printJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return eris.Wrap(err, "print a result; check the output")
		}
	}
	return nil
}

package overlap

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Summary is the time in which two or more engines worked on the same run, whatever the reason.
type Summary struct {
	Runs    int
	Sum     time.Duration
	Longest time.Duration // of one run
	Run     string        // the one with the longest time
	Engines []string      // that worked on it
}

// Summarize sums up all parts of all runs, without the silences of each engine.
func Summarize(parts []Part) Summary {
	byRun := make(map[string][]Part)
	var ids []string
	for _, p := range parts {
		if byRun[p.Run] == nil {
			ids = append(ids, p.Run)
		}
		byRun[p.Run] = append(byRun[p.Run], p)
	}
	var s Summary
	for _, id := range ids {
		d := timeAtTwo(byRun[id])
		if d <= 0 {
			continue
		}
		s.Runs++
		s.Sum += d
		if d > s.Longest {
			s.Longest, s.Run, s.Engines = d, id, enginesOf(byRun[id])
		}
	}
	return s
}

const precision = 100 * time.Microsecond // of the times that String states

// String describes the summary.
func (s Summary) String() string {
	if s.Runs == 0 {
		return "0 runs"
	}
	return fmt.Sprintf("%d runs, %v in all, longest %v: %s at %s", s.Runs, s.Sum.Round(precision), s.Longest.Round(precision), s.Run, strings.Join(s.Engines, ", "))
}

// timeAtTwo returns how long two or more engines work at the same time.
func timeAtTwo(parts []Part) time.Duration {
	var changes []time.Time
	for _, p := range parts {
		changes = append(changes, p.From, p.To)
		for _, idle := range p.Idle {
			changes = append(changes, idle.From, idle.To)
		}
	}
	slices.SortFunc(changes, time.Time.Compare)
	total := time.Duration(0)
	for i := 1; i < len(changes); i++ {
		from, to := changes[i-1], changes[i]
		engine := ""
		for _, p := range parts {
			if !p.worksAt(from) || p.Engine == engine {
				continue
			}
			if engine != "" {
				total += to.Sub(from)
				break
			}
			engine = p.Engine
		}
	}
	return total
}

// worksAt reports whether the engine works at t and goes on.
func (p Part) worksAt(t time.Time) bool {
	if t.Before(p.From) || !t.Before(p.To) {
		return false
	}
	for _, idle := range p.Idle {
		if !t.Before(idle.From) && t.Before(idle.To) {
			return false
		}
	}
	return true
}

func enginesOf(parts []Part) []string {
	var out []string
	for _, p := range parts {
		out = append(out, p.Engine)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

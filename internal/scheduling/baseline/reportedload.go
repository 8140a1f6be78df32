package baseline

import "corianderhitch/internal/scheduling"

// reportedLoad chooses the target whose last report shows the fewest running and
// waiting sequences. Among equals it chooses the one with the fewest used blocks.
type reportedLoad struct{}

// NewReportedLoad returns the policy reported_load.
func NewReportedLoad() scheduling.Policy { return newGreedy(reportedLoad{}, "least reported load") }

func (reportedLoad) choose(_ *scheduling.Request, usable []scheduling.Target) (string, bool) {
	if len(usable) == 0 {
		return "", false
	}
	best := usable[0]
	for _, t := range usable[1:] {
		if lessLoaded(&t, &best) {
			best = t
		}
	}
	return best.Name, true
}

// lessLoaded reports whether a has less reported load than b.
func lessLoaded(a, b *scheduling.Target) bool {
	if la, lb := a.Running+a.Waiting, b.Running+b.Waiting; la != lb {
		return la < lb
	}
	return a.UsedBlocks < b.UsedBlocks
}

func (reportedLoad) granted(*scheduling.Request, string) {}
func (reportedLoad) ended(*scheduling.Request, string)   {}

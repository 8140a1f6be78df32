package baseline

import "corianderhitch/internal/scheduling"

// worstCase reserves the memory of the prompt and the longest output that the
// request may have, and waits until some target has so much left.
type worstCase struct{ reserved map[string]int } // blocks by target

// NewWorstCaseReservation returns the policy worst_case_reservation.
func NewWorstCaseReservation() scheduling.Policy {
	return newGreedy(&worstCase{reserved: make(map[string]int)}, "worst case reserved")
}

func (c *worstCase) choose(r *scheduling.Request, usable []scheduling.Target) (string, bool) {
	best, most := "", -1
	for _, t := range usable {
		free := t.TotalBlocks - c.reserved[t.Name]
		fits := blocksOf(r, t.BlockTokens) <= free || c.reserved[t.Name] == 0
		if fits && free > most {
			best, most = t.Name, free
		}
	}
	return best, best != ""
}

func (c *worstCase) granted(r *scheduling.Request, target string) {
	c.reserved[target] += blocksOf(r, blockTokens)
}

func (c *worstCase) ended(r *scheduling.Request, target string) {
	c.reserved[target] -= blocksOf(r, blockTokens)
}

// blockTokens is the size of all targets' blocks.
const blockTokens = 64

func blocksOf(r *scheduling.Request, size int) int {
	if size == 0 {
		size = blockTokens
	}
	return (r.PromptTokens + r.MaxTokens + size - 1) / size
}

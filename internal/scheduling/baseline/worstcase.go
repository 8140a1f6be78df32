package baseline

import "corianderhitch/internal/scheduling"

// worstCase reserves memory for the prompt and the longest output that the request
// allows, and keeps the request waiting until a target has that much unreserved
// memory or no reservation at all.
type worstCase struct{ reserved map[string]int } // blocks by target

// NewWorstCaseReservation returns the policy worst_case_reservation.
func NewWorstCaseReservation() scheduling.Policy {
	return newGreedy(&worstCase{reserved: make(map[string]int)}, "worst case reserved")
}

func (c *worstCase) choose(r *scheduling.Request, usable []scheduling.Target) (string, bool) {
	best, mostFree := "", -1
	for _, t := range usable {
		free := t.TotalBlocks - c.reserved[t.Name]
		fits := worstCaseBlocks(r, t.BlockTokens) <= free || c.reserved[t.Name] == 0
		if fits && free > mostFree {
			best, mostFree = t.Name, free
		}
	}
	return best, best != ""
}

func (c *worstCase) granted(r *scheduling.Request, target string) {
	c.reserved[target] += worstCaseBlocks(r, blockTokens)
}

func (c *worstCase) ended(r *scheduling.Request, target string) {
	c.reserved[target] -= worstCaseBlocks(r, blockTokens)
}

// blockTokens is the block size of all targets, in tokens.
const blockTokens = 64

// worstCaseBlocks returns the blocks of the prompt and the longest output that the
// request allows, for blocks of blockSize tokens; 0 means blockTokens.
func worstCaseBlocks(r *scheduling.Request, blockSize int) int {
	if blockSize == 0 {
		blockSize = blockTokens
	}
	return (r.PromptTokens + r.MaxTokens + blockSize - 1) / blockSize
}

// Package victim chooses which running generation to pause when a target's
// memory is about to overflow.
package victim

// Candidate is a running generation.
type Candidate struct {
	Ticket    string
	Priority  int
	MayBeLate bool
	// LostTokens must be computed again when it resumes: prompt tokens that no
	// cache holds, plus output tokens.
	LostTokens int
	HeldTokens int // memory that pausing frees
}

// latenessFactor is how much cheaper it is to pause work that may be late.
const latenessFactor = 4.0

// Choose returns the index of the candidate to pause, or -1 if there is none.
// The lowest priority goes first; then the least cost for the memory it frees.
func Choose(candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || better(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if ca, cb := cost(a), cost(b); ca != cb {
		return ca < cb
	}
	return a.Ticket < b.Ticket
}

func cost(c *Candidate) float64 {
	perToken := float64(c.LostTokens+1) / float64(max(1, c.HeldTokens))
	if c.MayBeLate {
		return perToken / latenessFactor
	}
	return perToken
}

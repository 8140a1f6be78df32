package cells

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/scheduling"
)

// maxAlternativeLoadRatio is the ratio of loads per target below which a request
// goes to the alternative cell instead of one that may have its prefix cached.
const maxAlternativeLoadRatio = 0.8

// Load is the load of a cell as its owner last reported it.
type Load struct {
	Requests int // waiting and running
	Targets  int // targets that accept requests
}

func (l Load) perTarget() float64 { return float64(l.Requests) / float64(l.Targets) }

// Choose returns the index of the cell for a request, or -1 if no cell accepts
// requests. Two candidates are derived from the hash of the prompt's first block, so
// that requests that share a prefix go to the same two cells, where it may be cached.
// The less loaded of the two is chosen, unless a third candidate, which is derived
// from the ticket, has much less load.
func Choose(r *scheduling.Request, loads []Load) int {
	prefixKey := r.Ticket
	if len(r.PrefixHashes) > 0 {
		prefixKey = strconv.FormatUint(r.PrefixHashes[0], 16)
	}
	best := lessLoaded(loads, candidateCell(prefixKey, 0, loads), candidateCell(prefixKey, 1, loads))
	alternative := candidateCell(r.Ticket, 2, loads)
	if best < 0 {
		return alternative
	}
	if loads[alternative].perTarget() < maxAlternativeLoadRatio*loads[best].perTarget() {
		return alternative
	}
	return best
}

// candidateCell returns the first cell that accepts requests, starting from the index
// that the key and the salt hash to and wrapping around, or -1 if there is none.
func candidateCell(key string, salt uint64, loads []Load) int {
	if len(loads) == 0 {
		return -1
	}
	var d xxhash.Digest
	d.ResetWithSeed(salt)
	_, _ = d.WriteString(key)
	first := int(d.Sum64() % uint64(len(loads)))
	for i := range loads {
		cell := (first + i) % len(loads)
		if loads[cell].Targets > 0 {
			return cell
		}
	}
	return -1
}

// lessLoaded returns the cell with less load per target; an index below 0 stands for
// no cell.
func lessLoaded(loads []Load, a, b int) int {
	if a < 0 {
		return b
	}
	if b >= 0 && loads[b].perTarget() < loads[a].perTarget() {
		return b
	}
	return a
}

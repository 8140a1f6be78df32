package cells

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/scheduling"
)

// awayMargin is how much less loaded a cell must be than those that may hold
// the request's prefix for the request to go there.
const awayMargin = 0.8

// Load is the load of a cell as its owner last told it.
type Load struct {
	Requests int // waiting and running
	Targets  int // that take requests
}

func (l Load) perTarget() float64 { return float64(l.Requests) / float64(l.Targets) }

// Choose returns the cell for a request, or -1 if no cell takes requests. Two
// candidates follow from the prompt's first block, so that requests that share
// a prefix meet in the same two cells; the less loaded of them is taken, unless
// a third candidate, which follows from the ticket, has much less load.
func Choose(r *scheduling.Request, loads []Load) int {
	key := r.Ticket
	if len(r.PrefixHashes) > 0 {
		key = strconv.FormatUint(r.PrefixHashes[0], 16)
	}
	best := less(loads, draw(key, 0, loads), draw(key, 1, loads))
	away := draw(r.Ticket, 2, loads)
	if best < 0 {
		return away
	}
	if loads[away].perTarget() < awayMargin*loads[best].perTarget() {
		return away
	}
	return best
}

// draw returns the first cell with targets from a place that the key gives.
func draw(key string, salt uint64, loads []Load) int {
	if len(loads) == 0 {
		return -1
	}
	var d xxhash.Digest
	d.ResetWithSeed(salt)
	_, _ = d.WriteString(key)
	first := int(d.Sum64() % uint64(len(loads)))
	for i := range loads {
		at := (first + i) % len(loads)
		if loads[at].Targets > 0 {
			return at
		}
	}
	return -1
}

func less(loads []Load, a, b int) int {
	if a < 0 {
		return b
	}
	if b >= 0 && loads[b].perTarget() < loads[a].perTarget() {
		return b
	}
	return a
}

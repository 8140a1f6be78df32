package experiment

import "math"

// accountShare is what one account requested and received, for the fairness index.
type accountShare struct {
	requested float64 // tokens
	received  float64 // tokens
	weight    float64
}

// maxMinShares returns the weighted max-min fair allocation of total tokens: in
// proportion to the weights, but to no account more than it requested.
func maxMinShares(shares []accountShare, total float64) []float64 {
	fair := make([]float64, len(shares))
	satisfied := make([]bool, len(shares))
	remaining := total
	for range shares {
		weights := 0.0
		for i, s := range shares {
			if !satisfied[i] {
				weights += s.weight
			}
		}
		if weights == 0 {
			return fair
		}
		if !satisfySmallRequests(shares, fair, satisfied, &remaining, weights) {
			for i, s := range shares {
				if !satisfied[i] {
					fair[i] = remaining * s.weight / weights
				}
			}
			return fair
		}
	}
	return fair
}

// satisfySmallRequests allocates the full amount to accounts that requested at most their
// weighted part of the remaining tokens. It reports whether there were any.
func satisfySmallRequests(shares []accountShare, fair []float64, satisfied []bool, remaining *float64, weights float64) bool {
	level := *remaining / weights
	found := false
	for i, s := range shares {
		if !satisfied[i] && s.requested <= level*s.weight {
			fair[i], satisfied[i], found = s.requested, true, true
			*remaining -= s.requested
		}
	}
	return found
}

// jainIndex returns Jain's fairness index of the received tokens divided by the max-min
// fair shares: 1 if all n accounts received their share, 1/n if one received everything,
// NaN if none received anything.
func jainIndex(shares []accountShare) float64 {
	total := 0.0
	for _, s := range shares {
		total += s.received
	}
	fair := maxMinShares(shares, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i, s := range shares {
		if fair[i] <= 0 {
			continue
		}
		x := s.received / fair[i]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return math.NaN()
	}
	return sum * sum / (n * squares)
}

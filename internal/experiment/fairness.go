package experiment

import "math"

// share is one account's part in the fairness index.
type share struct {
	asked  float64 // tokens
	got    float64 // tokens
	weight float64
}

// maxMin spreads total over the shares in proportion to their weights, with no
// share above what it asked for.
func maxMin(shares []share, total float64) []float64 {
	fair := make([]float64, len(shares))
	full := make([]bool, len(shares))
	left := total
	for range shares {
		weights := 0.0
		for i, s := range shares {
			if !full[i] {
				weights += s.weight
			}
		}
		if weights == 0 {
			return fair
		}
		if !fillSmall(shares, fair, full, &left, weights) {
			for i, s := range shares {
				if !full[i] {
					fair[i] = left * s.weight / weights
				}
			}
			return fair
		}
	}
	return fair
}

// fillSmall gives all that they asked for to the shares that ask for less than
// their part, and tells whether there were any.
func fillSmall(shares []share, fair []float64, full []bool, left *float64, weights float64) bool {
	level := *left / weights
	found := false
	for i, s := range shares {
		if !full[i] && s.asked <= level*s.weight {
			fair[i], full[i], found = s.asked, true, true
			*left -= s.asked
		}
	}
	return found
}

// jain returns Jain's index of the accounts' tokens over their max-min shares:
// 1 if all have their share, 1/n if one has everything.
func jain(shares []share) float64 {
	total := 0.0
	for _, s := range shares {
		total += s.got
	}
	fair := maxMin(shares, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i, s := range shares {
		if fair[i] <= 0 {
			continue
		}
		x := s.got / fair[i]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return math.NaN()
	}
	return sum * sum / (n * squares)
}

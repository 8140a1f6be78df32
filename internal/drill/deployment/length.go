package deployment

import (
	"math"
	"math/rand/v2"
)

// Length is a distribution of positive quantities: log-normal with the given mean, where the
// logarithm deviates by Spread. A share of Tail values are TailFactor times as long.
type Length struct {
	Mean       float64 `toml:"mean"`
	Spread     float64 `toml:"spread"`
	Tail       float64 `toml:"tail"`
	TailFactor float64 `toml:"tail_factor"`
	Max        float64 `toml:"max"`
}

// Draw returns a value.
func (l Length) Draw(r *rand.Rand) float64 {
	if l.Mean <= 0 {
		return 0
	}
	v := l.Mean * math.Exp(l.Spread*r.NormFloat64()-l.Spread*l.Spread/2)
	if l.Tail > 0 && r.Float64() < l.Tail {
		v *= l.TailFactor
	}
	if l.Max > 0 {
		v = min(v, l.Max)
	}
	return v
}

// DrawInt returns a value rounded to a whole number, at least least.
func (l Length) DrawInt(r *rand.Rand, least int) int { return max(least, int(math.Round(l.Draw(r)))) }

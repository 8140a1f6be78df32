package enginemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// LengthKind names a distribution of output lengths.
type LengthKind string

// The distributions, with the meaning of the parameters A and B of LengthComponent.
const (
	LengthFixed     LengthKind = "fixed"     // A tokens
	LengthLognormal LengthKind = "lognormal" // median A tokens, standard deviation B of the natural logarithm
	LengthPareto    LengthKind = "pareto"    // minimum A tokens, tail index B
	LengthBimodal   LengthKind = "bimodal"   // modes A and B tokens, equally likely; see bimodalSpread
)

// LengthComponent is one distribution of a mixture. Weight is relative to the sum of all
// weights.
type LengthComponent struct {
	Kind   LengthKind
	A, B   float64
	Weight float64
}

// LengthMixture is a mixture distribution of output lengths in tokens.
type LengthMixture []LengthComponent

// maxLength limits a drawn length in tokens, so that a heavy tail doesn't occupy an
// engine indefinitely.
const maxLength = 32_768

// bimodalSpread is the standard deviation of each mode relative to its mean.
const bimodalSpread = 0.1

// DefaultLengths returns a mixture of short answers, long texts and a heavy tail.
func DefaultLengths() LengthMixture {
	return LengthMixture{
		{Kind: LengthLognormal, A: 120, B: 0.8, Weight: 0.6},
		{Kind: LengthBimodal, A: 60, B: 900, Weight: 0.3},
		{Kind: LengthPareto, A: 200, B: 1.3, Weight: 0.1},
	}
}

// Draw returns a random output length in tokens, at least 1, which the seed and the
// generation id determine.
func (m LengthMixture) Draw(seed uint64, generation string) int {
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(generation)))
	tokens := m.pick(r).draw(r)
	return int(min(max(1, math.Round(tokens)), maxLength))
}

func (m LengthMixture) pick(r *rand.Rand) LengthComponent {
	total := 0.0
	for _, c := range m {
		total += c.Weight
	}
	x := r.Float64() * total
	for _, c := range m {
		x -= c.Weight
		if x < 0 {
			return c
		}
	}
	return m[len(m)-1]
}

// draw returns a random length of the component.
func (c LengthComponent) draw(r *rand.Rand) float64 {
	switch c.Kind {
	case LengthLognormal:
		return c.A * math.Exp(c.B*r.NormFloat64())
	case LengthPareto:
		return c.A / math.Pow(1-r.Float64(), 1/c.B)
	case LengthBimodal:
		mode := c.A
		if r.Float64() < 0.5 {
			mode = c.B
		}
		return mode * (1 + bimodalSpread*r.NormFloat64())
	default:
		return c.A
	}
}

// ParseLengths parses a mixture such as "lognormal:120:0.8:0.6,pareto:200:1.3:0.1" (kind,
// A, B and weight of each component).
func ParseLengths(text string) (LengthMixture, error) {
	var m LengthMixture
	for _, part := range strings.Split(text, ",") {
		c, err := parseComponent(strings.Split(strings.TrimSpace(part), ":"))
		if err != nil {
			return nil, fmt.Errorf("length %q: %w", part, err)
		}
		m = append(m, c)
	}
	return m, nil
}

// parseComponent parses the fields of "kind:A:B:weight".
func parseComponent(fields []string) (LengthComponent, error) {
	if len(fields) != 4 {
		return LengthComponent{}, fmt.Errorf("has %d fields; write kind:A:B:weight", len(fields))
	}
	c := LengthComponent{Kind: LengthKind(fields[0])}
	switch c.Kind {
	case LengthFixed, LengthLognormal, LengthPareto, LengthBimodal:
	default:
		return c, fmt.Errorf("unknown kind; use fixed, lognormal, pareto or bimodal")
	}
	for i, value := range []*float64{&c.A, &c.B, &c.Weight} {
		x, err := strconv.ParseFloat(fields[i+1], 64)
		if err != nil || !(x > 0) || math.IsInf(x, 0) {
			return c, fmt.Errorf("%q is not a positive number", fields[i+1])
		}
		*value = x
	}
	return c, nil
}

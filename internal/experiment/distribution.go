package experiment

import (
	"math"
	"math/rand/v2"

	"github.com/rotisserie/eris"
)

// Distribution is a random distribution of lengths in tokens.
type Distribution struct {
	Kind string `yaml:"kind"` // "fixed", "lognormal", "pareto", "bimodal"
	// Median is used by fixed and lognormal, Sigma by lognormal.
	Median float64 `yaml:"median,omitempty"`
	Sigma  float64 `yaml:"sigma,omitempty"`
	// Minimum and Alpha (tail index) are used by pareto.
	Minimum float64 `yaml:"least,omitempty"`
	Alpha   float64 `yaml:"alpha,omitempty"`
	// First and Second are used by bimodal; SecondShare is the probability of Second.
	First       *Distribution `yaml:"first,omitempty"`
	Second      *Distribution `yaml:"second,omitempty"`
	SecondShare float64       `yaml:"secondShare,omitempty"`
}

// check returns an error if the kind is unknown or lacks its parameters.
func (d *Distribution) check() error {
	switch d.Kind {
	case "fixed", "lognormal":
		if d.Median <= 0 {
			return eris.Errorf("%s needs a median above 0", d.Kind)
		}
	case "pareto":
		if d.Minimum <= 0 || d.Alpha <= 0 {
			return eris.New("pareto needs least and alpha above 0")
		}
	case "bimodal":
		if d.First == nil || d.Second == nil {
			return eris.New("bimodal needs first and second")
		}
		if err := d.First.check(); err != nil {
			return err
		}
		return d.Second.check()
	default:
		return eris.Errorf("unknown distribution %q; use fixed, lognormal, pareto or bimodal", d.Kind)
	}
	return nil
}

// draw returns a random length from 1 to limit.
func (d *Distribution) draw(r *rand.Rand, limit int) int {
	n := d.sample(r)
	return int(math.Round(math.Min(float64(limit), math.Max(1, n))))
}

func (d *Distribution) sample(r *rand.Rand) float64 {
	switch d.Kind {
	case "lognormal":
		return d.Median * math.Exp(d.Sigma*r.NormFloat64())
	case "pareto":
		return d.Minimum * math.Pow(1-r.Float64(), -1/d.Alpha)
	case "bimodal":
		if r.Float64() < d.SecondShare {
			return d.Second.sample(r)
		}
		return d.First.sample(r)
	default:
		return d.Median
	}
}

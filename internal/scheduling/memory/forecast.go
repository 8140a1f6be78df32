// Package memory forecasts how the KV memory use of a target changes as its
// sequences grow and finish, and computes the probability that it overflows.
package memory

import (
	"math"

	"corianderhitch/internal/scheduling/length"
)

// horizons are the future instants of a forecast, expressed as the number of
// further tokens that each running sequence has produced by then. They are denser
// where outputs usually end.
var horizons = [...]float64{
	0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192,
}

// HorizonCount is the number of instants of a forecast.
const HorizonCount = len(horizons)

// Sequence is a running or planned entry of a target's batch.
type Sequence struct {
	Curve     *length.Curve // distribution of its whole output
	Prompt    float64       // tokens
	Produced  float64       // output tokens so far
	MaxTokens float64       // output tokens at most
}

// Forecast holds the first three moments of the number of tokens in memory at each
// horizon. The zero value is the forecast of an empty target.
type Forecast struct {
	mean     [HorizonCount]float64
	variance [HorizonCount]float64
	third    [HorizonCount]float64 // third central moment
}

// Add adds a sequence. It assumes that sequences end independently of each other.
func (f *Forecast) Add(s Sequence) {
	survivalNow := s.Curve.Survival(s.Produced)
	for k, ahead := range horizons {
		if s.Produced+ahead > s.MaxTokens {
			return
		}
		survival := s.Curve.ConditionalSurvivalFrom(s.Produced, survivalNow, ahead)
		if survival <= 0 {
			return
		}
		tokens := s.Prompt + s.Produced + ahead
		bernoulliVariance := survival * (1 - survival)
		f.mean[k] += tokens * survival
		f.variance[k] += tokens * tokens * bernoulliVariance
		f.third[k] += tokens * tokens * tokens * bernoulliVariance * (1 - 2*survival)
	}
}

// AddConstant adds tokens that stay in memory at all horizons. The number may be
// negative.
func (f *Forecast) AddConstant(tokens float64) {
	for k := range f.mean {
		f.mean[k] += tokens
	}
}

// PeakMean returns the highest expected memory use over all horizons, in tokens.
func (f *Forecast) PeakMean() float64 {
	peak := 0.0
	for _, m := range f.mean {
		peak = math.Max(peak, m)
	}
	return peak
}

// OverflowProbability returns the probability that the memory use exceeds the
// capacity, in tokens, at any time. It approximates the sum of many independent
// bounded terms by a normal distribution, corrected for its skew by the first term
// of the Edgeworth expansion.
func (f *Forecast) OverflowProbability(capacity float64) float64 {
	worst := 0.0
	for k := range f.mean {
		worst = math.Max(worst, exceedProbability(capacity, f.mean[k], f.variance[k], f.third[k]))
	}
	return anyTimeProbability(worst)
}

// independentPeaks is the effective number of instants around the peak at which
// overflows are independent of each other. With it the forecast agrees with sampled
// futures, as TestOverflowProbabilityAgainstSampling checks.
const independentPeaks = 2.0

// anyTimeProbability returns the probability that an overflow occurs at any time.
// highestProbability is the probability of an overflow at the horizon where it is
// highest.
func anyTimeProbability(highestProbability float64) float64 {
	return 1 - math.Pow(1-highestProbability, independentPeaks)
}

// Fits reports whether the overflow probability at the capacity is at most bound.
// It is faster than OverflowProbability since it stops at the first horizon that
// exceeds the bound.
func (f *Forecast) Fits(capacity, bound float64) bool {
	boundPerInstant := 1 - math.Pow(1-bound, 1/independentPeaks)
	for k := range f.mean {
		if exceedProbability(capacity, f.mean[k], f.variance[k], f.third[k]) > boundPerInstant {
			return false
		}
	}
	return true
}

// maxDeviations is the distance in standard deviations beyond which
// exceedProbability returns 0.
const maxDeviations = 8

// exceedProbability returns the probability that a variable with the given moments
// exceeds the capacity.
func exceedProbability(capacity, mean, variance, third float64) float64 {
	if variance <= 0 {
		if mean > capacity {
			return 1
		}
		return 0
	}
	sd := math.Sqrt(variance)
	z := (capacity - mean) / sd
	if z > maxDeviations {
		return 0
	}
	skew := third / (variance * sd)
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	p := math.Erfc(z/math.Sqrt2)/2 + density*skew/6*(z*z-1)
	return math.Min(1, math.Max(0, p))
}

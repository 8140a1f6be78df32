// Package memory forecasts the KV memory of a target as its sequences grow and
// finish, and gives the probability that it overflows.
package memory

import (
	"math"

	"corianderhitch/internal/scheduling/length"
)

// horizons are the instants of a forecast, in tokens that each running sequence
// will have produced by then. They lie denser where outputs usually end.
var horizons = [...]float64{
	0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192,
}

// Horizons is the number of instants of a forecast.
const HorizonCount = len(horizons)

// Sequence is a generation that holds, or would hold, memory of a target.
type Sequence struct {
	Curve     *length.Curve // distribution of its whole output
	Prompt    float64       // tokens
	Produced  float64       // output tokens until now
	MaxTokens float64       // output tokens at most
}

// Forecast holds the first three moments of the tokens in memory at each
// horizon. The zero value is an empty target.
type Forecast struct {
	mean     [HorizonCount]float64
	variance [HorizonCount]float64
	third    [HorizonCount]float64 // third central moment
}

// Add counts a sequence. Sequences are taken as independent of each other.
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

// AddConstant counts tokens that stay in memory at all horizons.
func (f *Forecast) AddConstant(tokens float64) {
	for k := range f.mean {
		f.mean[k] += tokens
	}
}

// PeakMean returns the highest expected use over all horizons, in tokens.
func (f *Forecast) PeakMean() float64 {
	peak := 0.0
	for _, m := range f.mean {
		peak = math.Max(peak, m)
	}
	return peak
}

// OverflowProbability returns the probability that the use exceeds the capacity
// (tokens) at any time. The sum of many bounded independent terms is close to
// normal; the first Edgeworth term accounts for its skew.
func (f *Forecast) OverflowProbability(capacity float64) float64 {
	worst := 0.0
	for k := range f.mean {
		worst = math.Max(worst, exceedProbability(capacity, f.mean[k], f.variance[k], f.third[k]))
	}
	return overAllTimes(worst)
}

// peakInstants is the number of instants around the peak that exceed about
// independently of each other, as sampled futures show.
const independentPeaks = 2.0

// atAnyTime turns the probability at the worst horizon into that over all times.
func overAllTimes(worstInstant float64) float64 {
	return 1 - math.Pow(1-worstInstant, independentPeaks)
}

// Fits tells whether the overflow probability is at most bound. It stops at the
// first horizon that exceeds it.
func (f *Forecast) Fits(capacity, bound float64) bool {
	boundPerInstant := 1 - math.Pow(1-bound, 1/independentPeaks)
	for k := range f.mean {
		if exceedProbability(capacity, f.mean[k], f.variance[k], f.third[k]) > boundPerInstant {
			return false
		}
	}
	return true
}

// certain is the distance in standard deviations beyond which exceed answers 0.
const maxDeviations = 8

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

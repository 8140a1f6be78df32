package length

// maxNewestWeight is the weight of the newest sample above which all counts are
// scaled down.
const maxNewestWeight = 1e9

// Histogram counts output lengths in log-spaced buckets with exponential decay: each
// sample weighs more than the one before. Complete and censored samples are counted
// separately, since a censored sample is only a lower bound of the output's length.
// The zero value is ready and does not decay. A Histogram has a fixed size of about
// 600 bytes.
type Histogram struct {
	ended        [Buckets]float32
	censored     [Buckets]float32
	newestWeight float64 // weight of the newest sample; 0 means 1
	weightGrowth float64 // factor from the weight of one sample to that of the next; 0 means 1
}

// NewHistogram returns a Histogram in which the relative weight of a sample halves
// after halfLife further samples.
func NewHistogram(halfLife float64) *Histogram {
	return &Histogram{newestWeight: 1, weightGrowth: growthForHalfLife(halfLife)}
}

// Add counts an output of n tokens, as a censored sample if it is not complete.
func (h *Histogram) Add(n int, complete bool) {
	h.advanceWeight()
	if complete {
		h.ended[bucketOf(n)] += float32(h.newestWeight)
		return
	}
	h.censored[bucketOf(n)] += float32(h.newestWeight)
}

// Merge adds the samples of other, each at its current relative weight.
func (h *Histogram) Merge(other *Histogram) {
	h.normalize()
	scale := float32(1 / other.weight())
	for i := range h.ended {
		h.ended[i] += other.ended[i] * scale
		h.censored[i] += other.censored[i] * scale
	}
}

// Samples returns the number of samples, each counted by its weight relative to the
// newest one.
func (h *Histogram) Samples() float64 {
	sum := float32(0)
	for i := range h.ended {
		sum += h.ended[i] + h.censored[i]
	}
	return float64(sum) / h.weight()
}

// weight returns the weight of the newest sample.
func (h *Histogram) weight() float64 {
	if h.newestWeight == 0 {
		return 1
	}
	return h.newestWeight
}

// advanceWeight sets newestWeight for the next sample.
func (h *Histogram) advanceWeight() {
	if h.weightGrowth == 0 {
		h.newestWeight = 1
		return
	}
	h.newestWeight = h.weight() * h.weightGrowth
	if h.newestWeight > maxNewestWeight {
		h.normalize()
	}
}

// normalize scales all counts so that the newest sample weighs 1.
func (h *Histogram) normalize() {
	scale := float32(1 / h.weight())
	for i := range h.ended {
		h.ended[i] *= scale
		h.censored[i] *= scale
	}
	h.newestWeight = 1
}

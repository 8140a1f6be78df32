package length

// rescaleAbove bounds the weight of the newest sample before all are scaled down.
const rescaleAbove = 1e9

// Histogram counts output lengths in log-spaced buckets with exponential ageing.
// Ended and censored samples are kept apart: a censored sample says only that
// the output would have been at least so long. The zero value is ready, and
// without ageing. A Histogram has a fixed size of about 600 bytes.
type Histogram struct {
	ended    [Buckets]float32
	censored [Buckets]float32
	unit     float64 // weight of the newest sample; 0 stands for 1
	growth   float64 // factor of the weight from one sample to the next; 0 stands for 1
}

// NewHistogram returns a Histogram in which a sample counts half after halfLife
// further samples.
func NewHistogram(halfLife float64) *Histogram {
	return &Histogram{unit: 1, growth: growthOf(halfLife)}
}

// Add counts an output of n tokens. A sample that is not complete is censored.
func (h *Histogram) Add(n int, complete bool) {
	h.age()
	if complete {
		h.ended[bucketOf(n)] += float32(h.unit)
		return
	}
	h.censored[bucketOf(n)] += float32(h.unit)
}

// Merge adds the samples of other, each at its present weight.
func (h *Histogram) Merge(other *Histogram) {
	h.normalize()
	scale := float32(1 / other.weight())
	for i := range h.ended {
		h.ended[i] += other.ended[i] * scale
		h.censored[i] += other.censored[i] * scale
	}
}

// Samples returns the aged number of samples.
func (h *Histogram) Samples() float64 {
	sum := float32(0)
	for i := range h.ended {
		sum += h.ended[i] + h.censored[i]
	}
	return float64(sum) / h.weight()
}

func (h *Histogram) weight() float64 {
	if h.unit == 0 {
		return 1
	}
	return h.unit
}

func (h *Histogram) age() {
	if h.growth == 0 {
		h.unit = 1
		return
	}
	h.unit = h.weight() * h.growth
	if h.unit > rescaleAbove {
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
	h.unit = 1
}

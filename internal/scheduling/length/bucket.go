package length

import "math/bits"

const (
	// stepsPerOctave is the number of buckets between a length and twice that length.
	stepsPerOctave = 4
	stepBits       = 2 // log2(stepsPerOctave)
	octaves        = 17
	// Buckets is the number of buckets of a Histogram or Curve. The last one starts
	// at 114,688 tokens and holds all longer outputs.
	Buckets = octaves * stepsPerOctave
)

// edges holds the lower edge of each bucket in tokens, and the upper edge of the
// last one.
var edges = func() [Buckets + 1]float64 {
	var e [Buckets + 1]float64
	for i := range e {
		octave, step := i/stepsPerOctave, i%stepsPerOctave
		e[i] = float64(int(1)<<octave) * (1 + float64(step)/stepsPerOctave)
	}
	return e
}()

// bucketOf returns the bucket of a length of n tokens.
func bucketOf(n int) int {
	if n < 1 {
		return 0
	}
	octave := bits.Len(uint(n)) - 1
	if octave >= octaves {
		return Buckets - 1
	}
	if octave < stepBits {
		return octave*stepsPerOctave + (n<<(stepBits-octave))&(stepsPerOctave-1)
	}
	return octave*stepsPerOctave + (n>>(octave-stepBits))&(stepsPerOctave-1)
}

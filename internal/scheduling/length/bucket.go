package length

import "math/bits"

const (
	// stepsPerOctave is the number of buckets between a length and its double.
	stepsPerOctave = 4
	stepBits       = 2
	octaves        = 17
	// Buckets is the number of buckets. The last one starts at 114,688 tokens.
	Buckets = octaves * stepsPerOctave
)

// edges holds the lower edge of each bucket in tokens, and the end of the last.
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

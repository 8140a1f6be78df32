package targetspeed

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// ID names an incarnation in messages in few bytes. Two targets with the same ID, which among a
// thousand targets happens in one of ten thousand fleets, would share their estimate.
type ID uint32

// IDOf returns the ID of an incarnation.
func IDOf(target string) ID { return ID(xxhash.Sum64String(target)) }

// Sample is what a host has newly observed of a target, in a message. Times are in milliseconds.
type Sample struct {
	Target             ID
	Decode, DecodeWork uint32
	Prompt             uint32 // in tokens
	First, FirstWork   uint32
	Calls              uint32
	LogLatency         int32  // in hundredths
	LogSquares         uint32 // in hundredths
}

func newSample(target ID, s Sums) Sample {
	return Sample{Target: target, Decode: millis(s.Decode), DecodeWork: millis(s.DecodeWork), Prompt: uint32(s.Prompt),
		First: millis(s.First), FirstWork: millis(s.FirstWork), Calls: uint32(s.Calls), LogLatency: int32(math.Round(100 * s.LogLatency)), LogSquares: uint32(math.Round(100 * s.LogSquares))}
}

func millis(seconds float64) uint32 { return uint32(math.Round(1000 * seconds)) }

func (s *Sample) sums() Sums {
	return Sums{Decode: float64(s.Decode) / 1000, DecodeWork: float64(s.DecodeWork) / 1000, Prompt: float64(s.Prompt),
		First: float64(s.First) / 1000, FirstWork: float64(s.FirstWork) / 1000, Calls: float64(s.Calls), LogLatency: float64(s.LogLatency) / 100, LogSquares: float64(s.LogSquares) / 100}
}

// Position is up to where a host has the factors of a hub's process.
type Position struct {
	Process uint32 // drawn at the start of the process
	Seq     uint64
}

// Report is a host's new samples and the factors that it has, with its sync. Its zero value is also
// what a host of an older build sends.
type Report struct {
	Samples []Sample
	Have    Position
}

// Factors are those that have changed since the position that the host has. Its zero value is also
// what a hub of an older build answers; it says nothing.
type Factors struct {
	Position Position
	All      bool // the host has none of this process: targets that are not listed have the factor 1
	Changed  []TargetFactor
}

// TargetFactor is the factor of a target in tenths.
type TargetFactor struct {
	Target ID
	Tenths uint8
}

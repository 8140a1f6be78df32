package targetspeed

import (
	"math"
	"time"
)

// The time of a decode step, which normalizes samples for the occupancy of an engine. Only the
// ratios matter: factors are relative to the median of a service.
const (
	// stepTime and stepTimePerRun are the time of a step that decodes a token of each run.
	stepTime       = 7 * time.Millisecond
	stepTimePerRun = 120 * time.Microsecond
	// promptTokensPerSecond is how fast an engine prefills prompts apart from its steps.
	promptTokensPerSecond = 14000.0
	// promptChunk is how many prompt tokens an engine prefills in a step.
	promptChunk = 112
)

// Sums are what was observed of a target, as sums that can be merged and decayed.
type Sums struct {
	// Decode is the time between events, summed over runs, in seconds; DecodeWork is the time that
	// these events take on an engine of nominal speed without prefills.
	Decode, DecodeWork float64
	// Prompt is the number of prompt tokens that were prefilled.
	Prompt float64
	// First is the time from requests to their first events in seconds; FirstWork is what it takes on
	// an engine of nominal speed.
	First, FirstWork float64
	// Calls counts answered calls; LogLatency sums the logarithms of their latencies in seconds, each
	// divided by its expected increase at the occupancy. Logarithms limit the weight of single long calls.
	// LogSquares sums their squares.
	Calls, LogLatency, LogSquares float64
}

// stepAt returns the time of a step at an occupancy.
func stepAt(runs int) float64 {
	return (stepTime + time.Duration(max(1, runs))*stepTimePerRun).Seconds()
}

// DecodeSums are of tokens that a run produced while an engine had so many runs.
func DecodeSums(runs int, elapsed time.Duration, tokens int) Sums {
	return Sums{Decode: elapsed.Seconds(), DecodeWork: float64(tokens) * stepAt(runs)}
}

// maxFirstRatio bounds how much longer than expected a first event counts: beyond it, the run has
// most likely waited for memory and not for the prefill of prompts.
const maxFirstRatio = 3

// FirstSums are of a first event that took so long with unread prompt tokens ahead, its own prompt
// included.
func FirstSums(runs, prompt, unread int, took time.Duration) Sums {
	work := float64(unread) * (1/promptTokensPerSecond + stepAt(runs)/promptChunk)
	return Sums{Prompt: float64(prompt), First: math.Min(took.Seconds(), maxFirstRatio*work), FirstWork: work}
}

// CallSums are of an answered call that was sent while a target had so many others in flight.
func CallSums(inFlight, slots int, took time.Duration) Sums {
	slots = max(1, slots)
	increase := 1 + math.Max(0, float64(inFlight+1-slots))/float64(slots)
	log := math.Log(math.Max(minLatency, took.Seconds()/increase))
	return Sums{Calls: 1, LogLatency: log, LogSquares: log * log}
}

// minLatency is the shortest latency of a call that is told from shorter ones, in seconds. Below
// it, the network path and not the target decides.
const minLatency = 0.005

// Plus returns the sum of both.
func (s Sums) Plus(o Sums) Sums {
	return Sums{Decode: s.Decode + o.Decode, DecodeWork: s.DecodeWork + o.DecodeWork, Prompt: s.Prompt + o.Prompt,
		First: s.First + o.First, FirstWork: s.FirstWork + o.FirstWork, Calls: s.Calls + o.Calls, LogLatency: s.LogLatency + o.LogLatency, LogSquares: s.LogSquares + o.LogSquares}
}

// decayed returns the sums after a time without samples.
func (s Sums) decayed(age time.Duration) Sums {
	f, c := decay(age, runHalfLife), decay(age, callHalfLife)
	return Sums{Decode: f * s.Decode, DecodeWork: f * s.DecodeWork, Prompt: f * s.Prompt,
		First: f * s.First, FirstWork: f * s.FirstWork, Calls: c * s.Calls, LogLatency: c * s.LogLatency, LogSquares: c * s.LogSquares}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

const (
	// runHalfLife is the time in which the weight of samples of runs halves. Longer ones follow later, while
	// shorter ones hold too few prompts: equal engines would seem to differ.
	runHalfLife = 500 * time.Millisecond
	// callHalfLife is the same for calls, whose latencies vary more.
	callHalfLife = time.Second
	// runSpan is the time in seconds that the sums of a target cover whose runs never pause.
	runSpan = float64(runHalfLife) / float64(time.Second) / math.Ln2
)

const (
	// halfRunTime is the observed time of runs in seconds at which a target counts as half as slow, on a
	// logarithmic scale, as it was observed.
	halfRunTime = 0.2
	// firstWeight is how much the time to a first event counts as such evidence: the prompts ahead of a run
	// are known less exactly than the events between two others.
	firstWeight = 0.3
	// halfCallsPerVariance times the variance of the logarithms of latencies is the same for answered calls.
	// A target whose mean is three standard errors off its service's then stays just within SharedBand,
	// however many calls it had.
	halfCallsPerVariance = 16
	// priorVariance counts like that of priorCalls calls: single calls say nothing about the variance.
	priorVariance, priorCalls = 0.5, 5
	minHalfCalls              = 0.5
)

// halfCalls returns the number of calls at which a target of a service counts as half as slow, on a
// logarithmic scale, as it was observed, from the sums of all its targets.
func halfCalls(targets []Sums) float64 {
	squares, calls := priorVariance*priorCalls, float64(priorCalls)
	for _, s := range targets {
		if s.Calls > 1 {
			squares += math.Max(0, s.LogSquares-s.LogLatency*s.LogLatency/s.Calls)
			calls += s.Calls - 1
		}
	}
	return math.Max(minHalfCalls, halfCallsPerVariance*squares/calls)
}

// slowness returns the logarithm of the time that a unit of work takes, and how much that is to be
// trusted, from 0 to 1. halfCalls is that of the service.
func (s Sums) slowness(halfCalls float64) (log, trust float64) {
	switch observed := s.Decode + s.First; {
	case observed > 0:
		work := s.DecodeWork + s.Decode*s.Prompt/runSpan/promptTokensPerSecond + s.FirstWork
		evidence := s.Decode + firstWeight*s.First
		return math.Log(observed / math.Max(work, observed/1000)), evidence / (evidence + halfRunTime)
	case s.Calls > 0:
		return s.LogLatency / s.Calls, s.Calls / (s.Calls + halfCalls)
	}
	return 0, 0
}

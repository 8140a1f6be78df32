package enginemodel

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures a decode step; ns/token is the relevant result.
func BenchmarkStep(b *testing.B) {
	for _, batch := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			config := testConfig()
			config.MaxBatch, config.TotalBlocks = batch, 1<<30
			config.ReportEvery, config.ReportLag = 100*time.Millisecond, time.Second
			e := New(config)
			for i := range batch {
				s := Submission{ID: fmt.Sprint(i), Model: "m", Version: "1", PromptTokens: 100, Length: 1 << 40}
				if err := e.Submit(epoch, s); err != nil {
					b.Fatal(err)
				}
			}
			for range 100 + batch {
				next, _ := e.NextStep()
				e.Step(next)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				next, _ := e.NextStep()
				e.Step(next)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/token")
		})
	}
}

// BenchmarkStepWithFullMemory measures the steps of complete generations on an engine
// that is out of memory most of the time.
func BenchmarkStepWithFullMemory(b *testing.B) {
	config := testConfig()
	config.TotalBlocks = 200
	e := New(config)
	hashes := make([]uint64, 8)
	submitted := 0
	b.ReportAllocs()
	for range b.N {
		for len(e.waiting.items) < 50 {
			for i := range hashes {
				hashes[i] = uint64(submitted%10*100 + i)
			}
			submitted++
			s := Submission{
				ID: fmt.Sprint(submitted), Model: "m", Version: "1", PromptTokens: 600,
				PrefixHashes: append([]uint64{}, hashes...), Length: 50 + submitted*37%800, Priority: submitted % 3,
			}
			if err := e.Submit(epoch, s); err != nil {
				b.Fatal(err)
			}
		}
		next, _ := e.NextStep()
		e.Step(next)
	}
	stats := e.Stats()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(stats.Tokens), "ns/token")
	b.ReportMetric(float64(stats.Preemptions)/float64(stats.Finished+1), "preemptions/generation")
}

package targetspeed

import (
	"fmt"
	"testing"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// benchTracker returns the tracker of a hub with 45 engines that two of them make differ.
func benchTracker() (*Tracker, []string) {
	services := []Service{{Name: "e"}}
	for i := range 45 {
		services[0].Targets = append(services[0].Targets, fmt.Sprintf("i-62b11cb1%02d@1700000000000", i))
	}
	t := New(func() []Service { return services }, nil)
	for i, target := range services[0].Targets {
		s := newSample(IDOf(target), Sums{Decode: 1, DecodeWork: 1 / float64(1+i%20/19)})
		t.Merge(Report{Samples: []Sample{s}}, true)
		time.Sleep(5 * time.Millisecond)
	}
	return t, services[0].Targets
}

// BenchmarkRecord is the cost of a sample, of which a run takes five a second.
func BenchmarkRecord(b *testing.B) {
	t, engines := benchTracker()
	for i := range b.N {
		t.RecordDecode(engines[i%len(engines)], 5, 200*time.Millisecond, 20)
	}
}

// BenchmarkMerge is what a sync with samples of four targets costs a hub.
func BenchmarkMerge(b *testing.B) {
	t, engines := benchTracker()
	r := Report{Have: t.position}
	for _, e := range engines[:4] {
		r.Samples = append(r.Samples, newSample(IDOf(e), Sums{Decode: 1, DecodeWork: 1}))
	}
	for range b.N {
		t.Merge(r, true)
	}
}

// BenchmarkSlownessOf is what the choice of an engine costs.
func BenchmarkSlownessOf(b *testing.B) {
	t, engines := benchTracker()
	for range b.N {
		t.SlownessOf(engines)
	}
}

// BenchmarkUpdate is the cost of an estimate, of which a host makes at most five a second.
func BenchmarkUpdate(b *testing.B) {
	t, _ := benchTracker()
	now := bootclock.Now()
	for i := range b.N {
		t.merged.Update(t.Services(), now.Add(time.Duration(i)))
	}
}

package suspicion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestVerdicts(t *testing.T) {
	const culprit, neighbour, stranger = 1, 2, 3
	tests := []struct {
		name    string
		crashes []Crash
		ended   []uint64
		asked   uint64
		after   time.Duration
		want    Verdict
	}{
		{"unknown", nil, nil, stranger, 0, Clear},
		{"beside one crash", []Crash{{ID: "1", At: start, Beside: []uint64{culprit, neighbour}}}, nil, neighbour, 0, Spread},
		{"the same crash twice", []Crash{
			{ID: "1", At: start, Beside: []uint64{culprit, neighbour}},
			{ID: "1", At: start, Beside: []uint64{culprit, neighbour}},
		}, nil, culprit, 0, Spread},
		{"one crash heard of twice", []Crash{
			{ID: "seen", Target: "x", At: start, Beside: []uint64{culprit, neighbour}},
			{ID: "news", Target: "x", Heard: true, At: start.Add(time.Second), Beside: []uint64{culprit, neighbour}},
		}, nil, culprit, time.Second, Spread},
		{"two crashes of one target", []Crash{
			{ID: "1", Target: "x", At: start, Beside: []uint64{culprit, neighbour}},
			{ID: "2", Target: "x", At: start.Add(time.Second), Beside: []uint64{culprit, neighbour}},
		}, nil, culprit, time.Minute, Isolate},
		{"a second crash", []Crash{
			{ID: "1", At: start, Beside: []uint64{culprit, neighbour}},
			{ID: "2", At: start, Beside: []uint64{culprit, stranger}},
		}, nil, culprit, 0, Isolate},
		{"alone at the third", []Crash{
			{ID: "1", At: start, Beside: []uint64{culprit, neighbour}},
			{ID: "2", At: start, Beside: []uint64{culprit, stranger}},
			{ID: "3", At: start, Beside: []uint64{culprit}},
		}, nil, culprit, 0, Refuse},
		{"a first crash alone is no proof", []Crash{{ID: "1", At: start, Beside: []uint64{culprit}}}, nil, culprit, 0, Spread},
		{"a neighbour that finished", []Crash{
			{ID: "1", At: start, Beside: []uint64{culprit, neighbour}},
			{ID: "2", At: start, Beside: []uint64{culprit, neighbour}},
		}, []uint64{neighbour}, neighbour, 0, Clear},
		{"long ago", []Crash{{ID: "1", At: start, Beside: []uint64{culprit}}}, nil, culprit, Memory + time.Second, Clear},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker()
			for _, c := range test.crashes {
				tracker.Record(c)
			}
			for _, fingerprint := range test.ended {
				tracker.Finished(fingerprint)
			}
			assert.Equal(t, test.want, tracker.Verdict(test.asked, start.Add(test.after)))
		})
	}
}

func TestTogether(t *testing.T) {
	tracker := NewTracker()
	tracker.Record(Crash{ID: "1", At: start, Beside: []uint64{1, 2}})
	tracker.Record(Crash{ID: "2", At: start, Beside: []uint64{3}})
	assert.True(t, tracker.Together(1, 2))
	assert.False(t, tracker.Together(1, 3))
	assert.False(t, tracker.Together(1, 1))
}

func BenchmarkVerdict(b *testing.B) {
	tracker := NewTracker()
	for i := range uint64(maxFingerprints) {
		tracker.Record(Crash{ID: "1", At: start, Beside: []uint64{i}})
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		tracker.Verdict(i%(2*maxFingerprints), start)
	}
}

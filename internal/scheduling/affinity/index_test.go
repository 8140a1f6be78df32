package affinity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMatch(t *testing.T) {
	prompt := []uint64{1, 2, 3}
	tests := []struct {
		name  string
		apply func(*Index)
		want  map[int]int // depth by slot
	}{
		{"nothing known", func(*Index) {}, map[int]int{0: 0}},
		{"parts of a prompt", func(x *Index) { x.Store(0, []uint64{1, 2, 3}); x.Store(5, []uint64{1}) }, map[int]int{0: 3, 5: 1}},
		{"a block in the middle is gone", func(x *Index) { x.Store(0, prompt); x.Evict(0, []uint64{2}) }, map[int]int{0: 1}},
		{"evicted elsewhere", func(x *Index) { x.Store(0, prompt); x.Evict(1, prompt) }, map[int]int{0: 3}},
		{"forgotten", func(x *Index) { x.Store(0, prompt); x.Store(1, prompt); x.Forget(0) }, map[int]int{0: 0, 1: 3}},
		{"slot out of range", func(x *Index) { x.Store(MaxSlots, prompt) }, map[int]int{0: 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := NewIndex(0)
			test.apply(x)
			var depth [MaxSlots]int
			x.Match(prompt, &depth)
			for slot, want := range test.want {
				assert.Equal(t, want, depth[slot])
			}
		})
	}
}

func TestIndexSizeIsBounded(t *testing.T) {
	x := NewIndex(10)
	for i := range uint64(100) {
		x.Store(0, []uint64{i})
	}
	assert.Equal(t, 10, x.blocks.Len())
}

func BenchmarkMatch(b *testing.B) {
	x := NewIndex(0)
	prompt := make([]uint64, 32)
	for i := range prompt {
		prompt[i] = uint64(i)
	}
	x.Store(0, prompt)
	x.Store(7, prompt[:8])
	var depth [MaxSlots]int
	b.ReportAllocs()
	for b.Loop() {
		x.Match(prompt, &depth)
	}
}

package cells

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/scheduling"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// names returns n target names.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("engine-%04d", i)
	}
	return list
}

// cellOfTarget returns the index of each target's cell.
func cellOfTarget(cells [][]string) map[string]int {
	assigned := make(map[string]int)
	for i, cell := range cells {
		for _, target := range cell {
			assigned[target] = i
		}
	}
	return assigned
}

func TestSplitAssignsAllTargetsToBoundedCells(t *testing.T) {
	for _, n := range []int{0, 1, 12, 13, 16, 100, 675, 2700} {
		cells := Split(names(n))
		assert.Len(t, cellOfTarget(cells), n)
		for _, cell := range cells {
			assert.LessOrEqual(t, len(cell), scheduling.MaxCellTargets)
		}
	}
}

func TestSplitMovesFewTargetsWhenOneLeaves(t *testing.T) {
	all := names(674) // with the same number of cells as 675
	before, after := cellOfTarget(Split(all)), cellOfTarget(Split(all[1:]))
	moved := 0
	for target, cell := range after {
		if before[target] != cell {
			moved++
		}
	}
	assert.Less(t, moved, 70)
}

func TestChoose(t *testing.T) {
	r := &scheduling.Request{Ticket: "t", PrefixHashes: []uint64{7}}
	assert.Equal(t, -1, Choose(r, nil))
	assert.Equal(t, -1, Choose(r, []Load{{}, {}}))
	assert.Equal(t, 1, Choose(r, []Load{{}, {Targets: 3, Requests: 100}, {}}))
	loads := make([]Load, 50)
	for i := range loads {
		loads[i] = Load{Targets: 12, Requests: 100}
	}
	first := Choose(r, loads)
	other := &scheduling.Request{Ticket: "other", PrefixHashes: []uint64{7}}
	assert.Equal(t, first, Choose(other, loads), "requests that share a prefix go to the same cell")
	loads[first].Requests = 1000
	assert.NotEqual(t, first, Choose(r, loads), "unless that cell has much more load")
}

// Requests that wait in a cell which loses its last usable target must be moved to
// another cell, since they would wait there until their deadlines.
func TestWaitingRequestsMoveFromCellWithoutTargets(t *testing.T) {
	c := New(scheduling.Config{})
	list := make([]scheduling.Target, 24)
	for i, name := range names(24) {
		list[i] = scheduling.Target{Name: name, TotalBlocks: 10, BlockTokens: 64, Healthy: true, ReportedAt: start}
	}
	c.SetTargets(start, list)
	for i := range 200 {
		c.Submit(start, scheduling.Request{
			Ticket: fmt.Sprint(i), Account: "a", PromptTokens: 300, MaxTokens: 300, Submitted: start,
		})
	}
	granted := len(c.Decide(start).Grants)
	require.Less(t, granted, 200)
	for i := range list {
		list[i].Healthy = c.cellOfTarget[list[i].Name] == 0
	}
	c.SetTargets(start, list)
	c.Decide(start)
	assert.Empty(t, c.unplaced)
	assert.Empty(t, c.pools[1].WithdrawAll())
	assert.NotEmpty(t, c.pools[0].WithdrawAll())
}

func BenchmarkSplit(b *testing.B) {
	for _, n := range []int{12, 675, 2700} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			list := names(n)
			b.ReportAllocs()
			for b.Loop() {
				Split(list)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1, 57, 225} { // cells of 12, 675 and 2,700 targets
		b.Run(fmt.Sprintf("cells=%d", n), func(b *testing.B) {
			loads := make([]Load, n)
			for i := range loads {
				loads[i] = Load{Targets: 12, Requests: i}
			}
			r := &scheduling.Request{Ticket: "t", PrefixHashes: []uint64{7}}
			b.ReportAllocs()
			for b.Loop() {
				Choose(r, loads)
			}
		})
	}
}

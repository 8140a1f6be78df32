package enginemodel

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
)

func TestCheckTextFindsGapsRepetitionsAndSplices(t *testing.T) {
	id := Identity{Generation: "g", Model: "m", Version: "1", Adapter: "a"}
	other := id
	other.Version = "2"
	text := func(id Identity, offsets ...int) string {
		var b strings.Builder
		for _, offset := range offsets {
			b.WriteString(TokenText(id, offset))
		}
		return b.String()
	}
	tests := map[string]struct {
		text string
		tag  string
		n    int
		err  string
	}{
		"whole":           {text(id, 0, 1, 2), id.Tag(), 3, ""},
		"unknown tag":     {text(id, 0, 1, 2), "", 3, ""},
		"empty":           {"", id.Tag(), 0, ""},
		"gap":             {text(id, 0, 2), "", 1, "has offset 2"},
		"repetition":      {text(id, 0, 1, 1), "", 2, "has offset 1"},
		"no beginning":    {text(id, 1), "", 0, "has offset 1"},
		"splice":          {text(id, 0) + text(other, 1), "", 1, "another generation"},
		"foreign answer":  {text(other, 0), id.Tag(), 0, "another generation"},
		"cut in a token":  {text(id, 0, 1)[:15], "", 0, "not of the form"},
		"something other": {"hello", "", 0, "not of the form"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n, err := CheckText(test.text, test.tag)
			require.Equal(t, test.n, n)
			if test.err == "" {
				require.NoError(t, err)
			} else {
				require.ErrorContains(t, err, test.err)
			}
		})
	}
}

func TestLengthsFollowTheirDistribution(t *testing.T) {
	tests := map[string][3]int{ // bounds of the median, and the lower bound of the 99th percentile
		"fixed:50:1:1":        {50, 50, 50},
		"lognormal:100:0.5:1": {90, 110, 250},
		"pareto:100:1.5:1":    {140, 180, 1000},
		"bimodal:50:1000:1":   {40, 1100, 1000},
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			m, err := ParseLengths(text)
			require.NoError(t, err)
			const n = 4000
			lengths := make([]int, n)
			for i := range lengths {
				lengths[i] = m.Draw(1, strings.Repeat("x", i))
			}
			low, high := 0, 0
			for _, l := range lengths {
				if l < want[0] {
					low++
				}
				if l <= want[1] {
					high++
				}
			}
			require.LessOrEqual(t, low, n/2)
			require.GreaterOrEqual(t, high, n/2)
			tail := 0
			for _, l := range lengths {
				if l >= want[2] {
					tail++
				}
			}
			require.GreaterOrEqual(t, tail, n/100)
		})
	}
	for _, bad := range []string{"", "fixed:1:1", "normal:1:1:1", "fixed:-1:1:1", "fixed:x:1:1", "pareto:1:NaN:1"} {
		_, err := ParseLengths(bad)
		require.Error(t, err, bad)
	}
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	config := testConfig()
	config.CacheLag, config.CacheEventBuffer = time.Second, 4
	e := New(config)
	log := e.pool.log
	for hash := range uint64(3) {
		log.add(epoch, engine.CacheStored, hash)
	}
	require.Empty(t, e.CacheEvents(epoch.Add(999*time.Millisecond), 0).Events)
	seen := e.CacheEvents(epoch.Add(time.Second), 1)
	require.Equal(t, engine.CacheEvents{Next: 3, Events: []engine.CacheEvent{
		{Seq: 2, Kind: engine.CacheStored, Hash: 1}, {Seq: 3, Kind: engine.CacheStored, Hash: 2},
	}}, seen)
	e.LoseCacheEvents(1, 0)
	for hash := range uint64(4) {
		log.add(epoch, engine.CacheEvicted, hash)
	}
	after := e.CacheEvents(epoch.Add(time.Second), 3)
	require.EqualValues(t, 5, after.Events[0].Seq, "the lost event leaves a gap")
	require.EqualValues(t, 7, after.Next)
	require.EqualValues(t, 5, e.CacheEvents(epoch.Add(time.Second), 0).Events[0].Seq, "the ring buffer has dropped older events")
	require.EqualValues(t, 7, e.CacheEvents(epoch.Add(time.Second), 99).Next, "a restarted engine numbers events from 1 again")
}

func TestFencingModes(t *testing.T) {
	for fence, rejected := range map[FenceMode]bool{FenceStrict: true, FenceLax: false} {
		config := testConfig()
		config.Fence = fence
		e := New(config)
		order := func(id string, fence int64) error {
			_, err := e.Order(epoch, engine.Order{ID: id, Fence: fence, Kind: engine.OrderRole, Role: engine.RoleStandby})
			return err
		}
		require.NoError(t, order("a", 5))
		require.NoError(t, order("b", 5), "the same lease holder")
		err := order("c", 4)
		require.Equal(t, rejected, err != nil)
		if rejected {
			require.Equal(t, problem.RanNo, problem.From(err).Ran)
		}
		require.EqualValues(t, 5, e.OrderState(epoch).HighestFence)
	}
}

func TestLoadsTakeTimeFromTheSharedWeightStore(t *testing.T) {
	weights := NewWeightStore(1000)
	config := testConfig()
	config.Weights, config.WeightBytes = weights, 2000
	first, second := New(config), New(config)
	load := engine.Order{ID: "o", Kind: engine.OrderLoad, Model: "m", Version: "2"}
	for _, e := range []*Engine{first, second} {
		result, err := e.Order(epoch, load)
		require.NoError(t, err)
		require.False(t, result.Applied)
	}
	applied := func(e *Engine, after time.Duration) bool {
		result, err := e.Order(epoch.Add(after), load)
		require.NoError(t, err)
		return result.Applied
	}
	require.False(t, applied(first, 1999*time.Millisecond))
	require.True(t, applied(first, 2*time.Second))
	require.False(t, applied(second, 2*time.Second), "its fetch waits for the first engine's")
	require.True(t, applied(second, 4*time.Second))
	r := request("g", "x")
	r.Version = "2"
	require.NoError(t, first.Start(epoch.Add(2*time.Second), r))
}

func TestOrdersChangeWhatIsServed(t *testing.T) {
	config := testConfig()
	config.MaxLoaded = 2
	e := New(config)
	steps := []struct {
		order engine.Order
		kind  problem.Kind // empty for success
		want  []engine.Loaded
	}{
		{engine.Order{ID: "1", Kind: engine.OrderLoad, Model: "n", Version: "1"}, "",
			[]engine.Loaded{{Model: "m", Version: "1", Adapters: []string{"a"}}, {Model: "n", Version: "1"}}},
		{engine.Order{ID: "2", Kind: engine.OrderLoad, Model: "n", Version: "2"}, problem.KindOverloaded, nil},
		{engine.Order{ID: "3", Kind: engine.OrderUnload, Model: "m", Version: "1", Adapter: "a"}, "",
			[]engine.Loaded{{Model: "m", Version: "1", Adapters: []string{}}, {Model: "n", Version: "1"}}},
		{engine.Order{ID: "4", Kind: engine.OrderLoad, Model: "n", Version: "1", Adapter: "b"}, "",
			[]engine.Loaded{{Model: "m", Version: "1", Adapters: []string{}}, {Model: "n", Version: "1", Adapters: []string{"b"}}}},
		{engine.Order{ID: "5", Kind: engine.OrderUnload, Model: "m", Version: "1"}, "",
			[]engine.Loaded{{Model: "n", Version: "1", Adapters: []string{"b"}}}},
		{engine.Order{ID: "6", Kind: "paint"}, problem.KindBadRequest, nil},
		{engine.Order{ID: "7", Kind: engine.OrderRole, Role: "boss"}, problem.KindBadRequest, nil},
		{engine.Order{ID: "8", Kind: engine.OrderLoad}, problem.KindBadRequest, nil},
	}
	for _, step := range steps {
		before := e.OrderState(epoch).Loaded
		_, err := e.Order(epoch, step.order)
		if step.kind != "" {
			require.Equal(t, step.kind, problem.From(err).Kind, step.order.ID)
			require.Equal(t, before, e.OrderState(epoch).Loaded)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, step.want, e.OrderState(epoch).Loaded, step.order.ID)
	}
}

func TestStandbyRejectsRequests(t *testing.T) {
	e := New(testConfig())
	_, err := e.Order(epoch, engine.Order{ID: "r", Kind: engine.OrderRole, Role: engine.RoleStandby})
	require.NoError(t, err)
	require.Equal(t, problem.KindNoTarget, problem.From(e.Start(epoch, request("g", "x"))).Kind)
}

package targets

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/targetnotice"
)

// ids returns the IDs of targets.
func ids(ts []*Target) []string {
	out := []string{}
	for _, t := range ts {
		out = append(out, t.ID)
	}
	return out
}

// Placement, admission and Retry-After are computed from these sets: one that held an evacuated
// target would send there, or promise its capacity.
func TestEvacuatedTargetsAreLeftOut(t *testing.T) {
	evacuated := evacuation.NewHolder(slog.New(slog.DiscardHandler), func(int64) bool { return true })
	r := New(targetnotice.New(), func(Target, LeavingNotice) {})
	r.ExcludeEvacuated(evacuated)
	r.Replace(map[string]Target{
		"a": {ID: "a", Service: "s", Domain: "1"}, "b": {ID: "b", Service: "s", Domain: "2"},
		"c": {ID: "c", Service: "s", Domain: "2", Leaving: true}, "d": {ID: "d", Service: "other", Domain: "2", Leaving: true},
	}, 1)
	view := r.View()
	require.Empty(t, view.Available("s"), "it is not known yet which are evacuated")
	require.True(t, view.AllEvacuated("s"))
	evacuated.Replace(nil, 1, true, "test")
	require.Equal(t, []string{"a", "b"}, ids(view.Serving("s")))
	require.False(t, view.Evacuated("gone@0"))
	evacuated.Replace([]string{"2"}, 2, true, "test")
	require.Equal(t, []string{"a"}, ids(view.Serving("s")), "the view need not be built again")
	require.Equal(t, []string{"a"}, ids(view.Available("s")))
	require.Equal(t, []string{"a"}, ids(view.Unlimited("s")))
	require.Equal(t, []string{"b@0", "c@0"}, view.Refusing("s"), "a hub that lost the store must not choose it")
	require.False(t, view.Evacuated("a@0"))
	require.True(t, view.Evacuated("b@0"))
	require.True(t, view.Evacuated("gone@0"), "its domain is not known")
	require.False(t, view.AllEvacuated("s"))
	require.False(t, view.AllEvacuated("other"), "its target leaves in any case")
	require.True(t, view.AcceptsWithin("s", 0, 0))
	evacuated.Replace([]string{"1", "2"}, 3, true, "test")
	require.True(t, view.AllEvacuated("s"))
	require.False(t, view.AcceptsWithin("s", 0, 0), "such requests are rejected at once")
	_, refused := view.Refusal("s")
	require.False(t, refused, "no target says when it accepts requests again")
	require.NotNil(t, view.Get("b@0"), "runs in progress there go on")
	require.Zero(t, view.Trials("s").Left)
}

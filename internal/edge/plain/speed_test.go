package plain

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
)

// A target that errs quickly must not seem fast; one that answers slowly is hedged sooner.
func TestOnlySuccessfulAnswersShowSpeed(t *testing.T) {
	tracker := func() *targetspeed.Tracker {
		return targetspeed.New(func() []targetspeed.Service {
			return []targetspeed.Service{{Name: "s", Targets: []string{"a@0", "b@0", "c@0"}}}
		}, nil)
	}
	s := &Server{Stalls: &stall.Detector{}, Speeds: tracker()}
	record := func(id string, result result, status int, took time.Duration) {
		for range 50 {
			s.recordSpeed(&outcome{target: &targets.Target{ID: id, Slots: 6}, result: result, status: status, took: took}, 0)
		}
	}
	record("a", answered, http.StatusOK, 30*time.Millisecond)
	record("b", answered, http.StatusOK, 30*time.Millisecond)
	record("c", failed, http.StatusInternalServerError, 6*time.Millisecond)
	record("c", answered, http.StatusNotFound, 6*time.Millisecond)
	record("c", broken, 0, 6*time.Millisecond)
	require.Empty(t, s.Speeds.Slow())
	route := &policy.Route{Objective: 150 * time.Millisecond}
	require.Equal(t, 225*time.Millisecond, s.hedgeDelay(route, &targets.Target{ID: "c"}))

	s.Speeds = tracker()
	record("a", answered, http.StatusOK, 30*time.Millisecond)
	record("b", answered, http.StatusOK, 30*time.Millisecond)
	record("c", answered, http.StatusOK, 120*time.Millisecond)
	require.Contains(t, s.Speeds.Slow(), "c@0")
	require.Less(t, s.hedgeDelay(route, &targets.Target{ID: "c"}), minHedgeDelay)
}

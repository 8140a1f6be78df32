package streaming

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/admission"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/placement"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// endingObserver begins the drain when a run has been placed.
type endingObserver struct {
	Observer
	drain *draining.Drain
}

func (o endingObserver) ObservePlacementWait(time.Duration, bool) { o.drain.Begin(bootclock.Now()) }

// The race detector reports it.
func TestDrainThatBeginsDuringPlacementReadsStateOfTheRun(t *testing.T) {
	engine := &targets.Target{ID: "e", Service: "s", Address: "127.0.0.1:1"}
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	registry.Apply([]targets.Change{{Name: "e", Target: engine}}, 1)
	table := inflight.New("host")
	drain := draining.New(time.Minute)
	s := &Server{Targets: registry, Inflight: table, Health: ejection.New(), Lengths: NewOutputLengths(), Queue: admission.New(table.Changed),
		Drain: drain, Observer: endingObserver{drain: drain}}
	s.PlaceViaHub = func(context.Context, peers.PlaceArgs) (peers.PlaceReply, bool) {
		return peers.PlaceReply{Able: true, Decision: placement.Decision{Target: engine.Key()}}, true
	}
	a := &edge.AuthorizedCall{Call: &edge.Call{ID: "r"}, Route: &policy.Route{Name: "route", Kind: policy.Streaming}, Arrived: bootclock.Now(),
		Service:  &policy.Service{Name: "s", Engine: &policy.Engine{TokensPerEvent: 1, Slots: 1, MemoryTokens: 1 << 20}},
		Deadline: bootclock.Now().Add(time.Second), Log: slog.New(slog.DiscardHandler)}
	r := newRun(s, a, nil, nil)
	placed, _ := s.place(t.Context(), r)
	r.headSent = true
	time.Sleep(20 * time.Millisecond) // of the goroutine that the drain has started
	require.NotNil(t, placed)
}

package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// silentMoments are the moments at which a target's process may fall silent.
var silentMoments = map[string]standin.Moment{
	"at once": standin.AtOnce, "within a head": standin.WithinHead, "after a head": standin.AfterHead, "within an event": standin.WithinEvent,
}

// stream is a pending stream and its length in events.
type stream struct {
	events  int
	pending <-chan answer
}

// startStreams sends streams of both kinds. The longer ones have replicas.
func startStreams(t *testing.T, h *host) map[string]stream {
	streams := make(map[string]stream)
	for _, events := range []int{longGeneration, 3 * longGeneration} {
		for i := range 3 {
			draft, lookup := fmt.Sprintf("d-%d-%d", events, i), fmt.Sprintf("l-%d-%d", events, i)
			streams[draft] = stream{events, sendAsync(generationRequest(t.Context(), h, draft, events))}
			streams[lookup] = stream{events, sendAsync(resumableRequest(t.Context(), h, lookup, events, 0))}
		}
	}
	return streams
}

// requireStreamsComplete requires that each stream is complete, and that no draft was started
// twice.
func requireStreamsComplete(t *testing.T, streams map[string]stream, engines []*standin.Engine) {
	t.Helper()
	for id, s := range streams {
		a := <-s.pending
		require.NoError(t, a.err, id)
		require.Equal(t, http.StatusOK, a.status, id)
		require.Equal(t, standin.StreamText(id, s.events), a.body, id)
	}
	var started []string
	for _, e := range engines {
		for _, id := range e.Started() {
			if id[0] == 'd' {
				require.False(t, slices.Contains(started, id), id)
				started = append(started, id)
			}
		}
	}
}

// All engines fall silent, so that a run meets the silence wherever it executes.
func TestNoStreamBreaksWhileAllEnginesAreSilent(t *testing.T) {
	t.Parallel()
	for name, moment := range silentMoments {
		for _, framing := range []string{"chunks", "no chunks"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				_, h, engines := startEngineFleet(t, 2)
				for _, e := range engines {
					if framing != "chunks" {
						e.EndWithConnection()
					}
				}
				streams := startStreams(t, h)
				time.Sleep(longGeneration * standin.EventInterval / 2)
				for _, e := range engines {
					e.FallSilentAt(moment, targetSilence)
				}
				requireStreamsComplete(t, streams, engines)
			})
		}
	}
}

// One engine falls silent while runs wait for it because the other one is silent.
func TestNoStreamBreaksWhileEnginesFallSilentInTurn(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			_, h, engines := startEngineFleet(t, 2)
			streams := startStreams(t, h)
			time.Sleep(longGeneration * standin.EventInterval * 3 / 4)
			for _, e := range engines {
				e.FallSilent(targetSilence)
				time.Sleep(after)
			}
			requireStreamsComplete(t, streams, engines)
		})
	}
}

func TestStreamBeginsAtEnginesThatFallSilent(t *testing.T) {
	t.Parallel()
	for name, moment := range silentMoments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, h, engines := startEngineFleet(t, 2)
			for _, e := range engines {
				e.FallSilentAt(moment, targetSilence)
			}
			requireStreamsComplete(t, startStreams(t, h), engines)
		})
	}
}

// The source or the destination of a move falls silent while it answers the first or the
// final copy.
func TestRunMigratesWhileEnginesFallSilent(t *testing.T) {
	t.Parallel()
	for _, silent := range []string{"source", "destination", "both"} {
		for _, final := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, final copy: %v", silent, final), func(t *testing.T) {
				t.Parallel()
				f, h, engines := startEngineFleet(t, 2)
				const events = 600
				pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
				source, others := waitForBusyEngine(t, engines)
				fallen := map[string][]*standin.Engine{"source": {source}, "destination": others, "both": engines}[silent]
				var once sync.Once
				source.OnMove(func(f bool) {
					if f == final {
						once.Do(func() { fallSilent(fallen) })
					}
				})
				f.register(source.ID, engineService, source.Address(), "draining")
				a := <-pending
				require.NoError(t, a.err)
				require.Equal(t, standin.StreamText("r-1", events), a.body)
				require.Empty(t, others[0].Started())
				require.Len(t, fallen[0].Silences(), 1)
			})
		}
	}
}

func fallSilent(engines []*standin.Engine) {
	for _, e := range engines {
		e.FallSilent(targetSilence)
	}
}

func TestPlainCallsEndWhileTargetsAreSilent(t *testing.T) {
	t.Parallel()
	for name, moment := range silentMoments {
		if moment == standin.WithinEvent {
			continue
		}
		for _, framing := range []string{"length", "no length"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				_, h, targets := startPlainFleet(t, 2)
				for _, target := range targets {
					if framing != "length" {
						target.EndWithConnection()
					}
					target.FallSilentAt(moment, targetSilence)
				}
				pending := make(map[string]<-chan answer)
				for i := range 3 {
					hold, check := fmt.Sprintf("h-%d", i), fmt.Sprintf("c-%d", i)
					pending[hold] = sendAsync(h.request(t.Context(), http.MethodPost, "hold", hold, []byte("x")))
					pending[check] = sendAsync(h.request(t.Context(), http.MethodGet, "check", check, nil))
				}
				for id, p := range pending {
					a := <-p
					require.NoError(t, a.err, id)
					require.Equal(t, http.StatusOK, a.status, id)
					require.Equal(t, "done "+id, a.body)
				}
			})
		}
	}
}

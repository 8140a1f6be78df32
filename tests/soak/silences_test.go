package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

const (
	// meanSilenceInterval is the mean time between the beginnings of two series of silences.
	meanSilenceInterval = 600 * time.Millisecond
	// Bounds of a silence after which a sound target goes on.
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// maxSilenceGap is how long a target goes on at most between the silences of a series.
	maxSilenceGap = 500 * time.Millisecond
	// allSilentShare is one in how many series affects all targets of a service.
	allSilentShare = 6
	// unframedShare is one in how many targets answers with neither a length nor chunks.
	unframedShare = 3
)

func (t *target) endWithConnection() {
	if t.engine != nil {
		t.engine.EndWithConnection()
		return
	}
	t.plain.EndWithConnection()
}

func (t *target) fallSilent(m standin.Moment, d time.Duration) {
	if t.engine != nil {
		t.engine.FallSilentAt(m, d)
		return
	}
	t.plain.FallSilentAt(m, d)
}

func (t *target) silences() []standin.Silence {
	switch {
	case t.engine != nil:
		return t.engine.Silences()
	case t.plain != nil:
		return t.plain.Silences()
	default:
		return nil
	}
}

// silentSince returns from when on requests that reached the target at the given time may have
// waited for the end of a silence; the time itself if there was none.
func (t *target) silentSince(at time.Time) time.Time {
	for _, s := range t.silences() {
		if s.From.Before(at) && s.To.Add(schedulingSlack).After(at) {
			return s.From
		}
	}
	return at
}

// silentUntil returns the end of the last silence between from and to; from if there is none.
func (t *target) silentUntil(from, to time.Time) time.Time {
	until := from
	for _, s := range t.silences() {
		if s.From.Before(to) && s.To.After(until) {
			until = s.To
		}
	}
	return until
}

// injectSilences makes sound targets fall silent until ctx ends, in series that overlap each
// other and changes of the configuration. It has its own random source, so that the other
// faults of a seed stay as they are.
func (c *cluster) injectSilences(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	var wait sync.WaitGroup
	for ctx.Err() == nil {
		services := []string{engineService, engineService, plainService, switchService(random.IntN(switchServiceCount))}
		silent := c.liveTargets(services[random.IntN(len(services))])
		if random.IntN(allSilentShare) != 0 && len(silent) > 0 {
			silent = silent[random.IntN(len(silent)):][:1]
		}
		for _, t := range silent {
			series := rand.New(rand.NewPCG(random.Uint64(), 0))
			wait.Go(func() { t.fallSilentInSeries(series) })
		}
		if random.IntN(3) == 0 {
			changeAfter := between(random, 0, maxSilence)
			wait.Go(func() {
				time.Sleep(changeAfter)
				c.applyNextVersion()
			})
		}
		pause(ctx, time.Duration(random.ExpFloat64()*float64(meanSilenceInterval)))
	}
	wait.Wait()
}

// fallSilentInSeries makes the target fall silent one to three times.
func (t *target) fallSilentInSeries(random *rand.Rand) {
	moments := []standin.Moment{standin.AtOnce, standin.AtOnce, standin.WithinHead, standin.AfterHead, standin.WithinEvent}
	for range 1 + random.IntN(3) {
		d := between(random, minSilence, maxSilence)
		t.fallSilent(moments[random.IntN(len(moments))], d)
		time.Sleep(d + between(random, 0, maxSilenceGap))
	}
}

// liveTargets returns the targets of a service that run, leaving ones as well.
func (c *cluster) liveTargets(service string) []*target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*target
	for _, t := range c.targets {
		if t.service == service && !t.removed {
			out = append(out, t)
		}
	}
	return out
}

// checkSoundTargets checks that a request which reached sound targets only ends with a complete
// answer or a refusal. Silences of targets and changes of the configuration excuse nothing.
func (c *cluster) checkSoundTargets(o *outcome, seen []observation) string {
	if len(seen) == 0 || o.ended.Sub(o.sent) >= callTimeout-schedulingSlack {
		return ""
	}
	if o.err == nil && o.status != http.StatusBadGateway && o.status != http.StatusGatewayTimeout {
		return ""
	}
	if c.disturbances.affected(o.sent, o.ended, plannedStop, o.host.name) || c.stoppedWith(o, seen) || c.disturbedTarget(o) {
		return ""
	}
	return fmt.Sprintf("status %d, %d events, %v, after %v, although its targets were sound", o.status, o.receivedEvents(), o.err, o.ended.Sub(o.sent).Round(time.Millisecond))
}

// stoppedWith reports whether the request was answered in the last sixth of the grace period
// of its host, or with its process, or was cut there while its target was at work.
func (c *cluster) stoppedWith(o *outcome, seen []observation) bool {
	for _, stop := range c.disturbances.ofKind(plannedStop) {
		if stop.subject == o.host.name && o.ended.After(stop.from.Add(gracePeriod*5/6)) && (stop.to.IsZero() || o.sent.Before(stop.to)) {
			return o.err == nil || workedToEnd(o, seen, stop)
		}
	}
	return false
}

// disturbedTarget reports whether a target that executed the request, or an engine that held a
// copy of its run, failed, ended or was cut off.
func (c *cluster) disturbedTarget(o *outcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if !t.received(o.id) {
			continue
		}
		ended := !t.removedAt.IsZero() && t.removedAt.Before(o.ended.Add(schedulingSlack))
		if ended || c.disturbances.interrupted(o.sent, o.ended, t.id, "fails", "target path") {
			return true
		}
	}
	return false
}

// received reports whether a request or a copy of its run reached the target.
func (t *target) received(id string) bool {
	if t.engine != nil && t.engine.ReceivedCopy(id) {
		return true
	}
	for _, r := range t.requests() {
		if r.ID() == id {
			return true
		}
	}
	return false
}

// workingTime returns how much of the time between from and to none of the targets was silent;
// negative if from is after to.
func workingTime(from, to time.Time, targets ...*target) time.Duration {
	var silences []standin.Silence
	for _, t := range targets {
		silences = append(silences, t.silences()...)
	}
	return timeOutside(silences, from, to)
}

// timeOutside returns how much of the time between from and to lies in none of the silences;
// negative if from is after to.
func timeOutside(silences []standin.Silence, from, to time.Time) time.Duration {
	if to.Before(from) {
		return to.Sub(from)
	}
	outside := time.Duration(0)
	for at := from; at.Before(to); {
		next, silent := to, false
		for _, s := range silences {
			switch {
			case s.From.After(at):
				next = earlier(next, s.From)
			case s.To.After(at):
				silent, next = true, earlier(next, s.To)
			}
		}
		if !silent {
			outside += next.Sub(at)
		}
		at = next
	}
	return outside
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// silencesDuring describes the silences between from and to.
func (t *target) silencesDuring(from, to time.Time) []string {
	var out []string
	for _, s := range t.silences() {
		if s.From.Before(to) && s.To.After(from) {
			out = append(out, s.From.Format(timeLayout)+" to "+s.To.Format(timeLayout))
		}
	}
	return out
}

func TestTimeOutsideSilences(t *testing.T) {
	at := time.Now()
	span := func(from, to int) standin.Silence {
		return standin.Silence{From: at.Add(time.Duration(from) * time.Second), To: at.Add(time.Duration(to) * time.Second)}
	}
	for name, c := range map[string]struct {
		silences []standin.Silence
		want     int
	}{
		"none":              {nil, 10},
		"in the middle":     {[]standin.Silence{span(2, 4)}, 8},
		"over both ends":    {[]standin.Silence{span(-2, 3), span(8, 12)}, 5},
		"two that overlap":  {[]standin.Silence{span(1, 5), span(3, 7)}, 4},
		"outside":           {[]standin.Silence{span(-3, -1), span(11, 12)}, 10},
		"all the time":      {[]standin.Silence{span(-1, 6), span(5, 11)}, 0},
		"one after another": {[]standin.Silence{span(1, 2), span(2, 3)}, 8},
	} {
		require.Equal(t, time.Duration(c.want)*time.Second, timeOutside(c.silences, at, at.Add(10*time.Second)), name)
	}
	require.Equal(t, -time.Second, timeOutside(nil, at.Add(time.Second), at))
}

func TestSoundTargetCheckDetectsViolations(t *testing.T) {
	at := time.Now().Add(-callTimeout)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	h := &host{name: "host-0"}
	sound := &target{id: "t-1", plain: standin.StartPlainTarget("t-1", listen(t))}
	t.Cleanup(sound.plain.Close)
	c := &cluster{t: t, disturbances: &disturbanceLog{}, targets: []*target{sound}}
	failing := &outcome{id: "r", route: "hold", host: h, sent: at, ended: after(time.Second), err: errors.New("reset")}
	request := (&outcome{id: "r", route: "hold", host: &host{callerAddress: sound.plain.Address()}}).request(t.Context(), http.MethodPost, time.Second)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	seen := []observation{{target: sound, arrivedAt: at, endedAt: after(time.Second)}}
	with := func(change func(o *outcome)) *outcome {
		o := *failing
		change(&o)
		return &o
	}
	sound.plain.FallSilent(minSilence)
	require.NotEmpty(t, c.checkSoundTargets(failing, seen), "reset")
	require.NotEmpty(t, c.checkSoundTargets(with(func(o *outcome) { o.err, o.status = nil, http.StatusBadGateway }), seen), "502")
	require.NotEmpty(t, c.checkSoundTargets(with(func(o *outcome) { o.status = http.StatusOK }), seen), "stream broken off")
	require.Empty(t, c.checkSoundTargets(with(func(o *outcome) { o.err, o.status = nil, http.StatusServiceUnavailable }), seen), "refused")
	require.Empty(t, c.checkSoundTargets(with(func(o *outcome) { o.err, o.status = nil, http.StatusOK }), seen), "complete")
	require.Empty(t, c.checkSoundTargets(failing, nil), "no target received it")
	require.Empty(t, c.checkSoundTargets(with(func(o *outcome) { o.ended = after(callTimeout) }), seen), "deadline")
	for name, excuse := range map[string]func(){
		"the target failed": func() {
			c.disturbances.all = []disturbance{{subject: "t-1", kind: "fails", from: at, to: after(time.Second)}}
		},
		"the target ended": func() { sound.removedAt = after(time.Second) },
		"the host crashed": func() {
			c.disturbances.all = []disturbance{{subject: h.name, kind: "crash", from: at, to: after(time.Second)}}
		},
	} {
		excuse()
		require.Empty(t, c.checkSoundTargets(failing, seen), name)
		sound.removedAt, c.disturbances.all = time.Time{}, nil
	}
	c.disturbances.all = []disturbance{{subject: h.name, kind: plannedStop, from: at}}
	require.NotEmpty(t, c.checkSoundTargets(failing, seen), "the grace period had just begun")
	c.disturbances.all = []disturbance{{subject: h.name, kind: plannedStop, from: at.Add(-gracePeriod)}}
	require.NotEmpty(t, c.checkSoundTargets(failing, seen), "sent too late to be cut at the end of the grace period")
	require.Empty(t, c.checkSoundTargets(with(func(o *outcome) { o.err, o.status = nil, http.StatusBadGateway }), seen), "answered at the end of the grace period")
}

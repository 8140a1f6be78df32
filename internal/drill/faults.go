package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

const (
	minFault, maxFault = 2 * time.Second, 6 * time.Second
	storeSlowness      = 240 * time.Millisecond
)

// disturbStore makes the store slow or unavailable for some seconds.
func disturbStore(ctx context.Context, f *fleet, r *rand.Rand) error {
	d, outage := between(r, minFault, maxFault), r.IntN(2) == 0
	f.logger.Info("drill: store", "outage", outage, "for", d)
	from := time.Now()
	if outage {
		f.store.SetOutage(true)
	} else {
		f.store.Slow(storeSlowness)
	}
	err := sleep(ctx, d)
	f.store.SetOutage(false)
	f.store.Slow(0)
	f.log.Outage(record.Span{From: from, To: time.Now()})
	return err
}

// disturbCallers makes callers press, give up early, or repeat at once and often.
func disturbCallers(ctx context.Context, f *fleet, r *rand.Rand) error {
	d := between(r, minFault, maxFault)
	u := []unusual{{rate: 1.7}, {rate: 1, giveUp: 0.2}, {rate: 1, impatient: 0.3}}[r.IntN(3)]
	f.logger.Info("drill: callers", "rate", u.rate, "give_up", u.giveUp, "impatient", u.impatient, "for", d)
	f.traffic.disturbed.Store(&u)
	err := sleep(ctx, d)
	f.traffic.disturbed.Store(&unusual{rate: 1})
	return err
}

const (
	ailingShare     = 0.45 // of a service's targets
	allAilingShare  = 0.3  // of the cases, in which all targets of a service ail
	minAilingOfCall = 0.02 // share of a target's requests
)

// ailTargets makes something go wrong at some targets of a service for some seconds.
func ailTargets(ctx context.Context, f *fleet, r *rand.Rand) error {
	service := f.deployment.Services[r.IntN(len(f.deployment.Services))].Name
	kind := []Ailment{Hanging, Resetting, Failing, LosingAnswers}[r.IntN(4)]
	n := 1 + int(r.Float64()*ailingShare*float64(f.targets.count(service)))
	if r.Float64() < allAilingShare {
		n = f.targets.count(service)
	}
	some, share, d := f.targets.some(r, service, n), minAilingOfCall+(1-minAilingOfCall)*r.Float64(), between(r, minFault, maxFault)
	f.logger.Info("drill: ailing targets", "service", service, "targets", len(some), "ailment", kind, "share", share, "for", d)
	for _, t := range some {
		t.Ail(kind, share)
	}
	err := sleep(ctx, d)
	for _, t := range some {
		t.Recover()
	}
	return err
}

const (
	// Share of an engine's control calls that go wrong. The platform's pages allow it for requests of any kind.
	minAilingCalls, maxAilingCalls = 0.2, 0.6
	// lostStreams is the share of an engine's streams whose connections are lost while calls hang or fail.
	lostStreams = 0.8
	// streamsLostAfter is how long calls have gone wrong then.
	streamsLostAfter = 700 * time.Millisecond
)

// ailCalls makes something go wrong with control calls at some engines for some seconds, and takes away streams for
// which such calls matter: connections are lost, or one of the engines crashes.
func ailCalls(ctx context.Context, f *fleet, r *rand.Rand) error {
	services := slices.DeleteFunc(slices.Clone(f.deployment.Services), func(s deployment.Service) bool { return s.Engine == nil })
	if len(services) == 0 {
		return nil
	}
	service := services[r.IntN(len(services))].Name
	some := f.targets.some(r, service, 1+int(r.Float64()*ailingShare*float64(f.targets.count(service))))
	kind := []CallAilment{CallsHang, CallsReset, CallsFail, AnswersLost, AnswersRepeated}[r.IntN(5)]
	share, d := minAilingCalls+(maxAilingCalls-minAilingCalls)*r.Float64(), between(r, minFault, maxFault)
	f.logger.Info("drill: ailing control calls", "service", service, "targets", len(some), "ailment", kind, "share", share, "for", d)
	for _, t := range some {
		t.AilCalls(kind, share)
	}
	err := sleep(ctx, streamsLostAfter)
	if kind != AnswersRepeated {
		for _, t := range some {
			t.LoseStreams(lostStreams)
		}
	}
	if err == nil {
		err = sleep(ctx, d)
	}
	for _, t := range some {
		t.AilCalls("", 0)
	}
	if kind == AnswersRepeated && err == nil && len(some) > 0 {
		f.targets.crash(some[0].ID(), minCrashRestart)
	}
	return err
}

const (
	minPause, maxPause         = 500 * time.Millisecond, 5 * time.Second
	pausedShare, allPausedOf   = 0.6, 0.2 // of a service's targets; share of the cases in which all pause
	minLimit, maxLimit         = 1.0, 6.0 // requests a second
	minLimitFor, maxLimitFor   = 6 * time.Second, 12 * time.Second
	limitedShare, allLimitedOf = 0.6, 0.3 // of a service's targets; share of the cases in which all are limited
)

// drawTargets draws a service, and a share of its targets at the most or, in allOf of the cases, all.
func drawTargets(f *fleet, r *rand.Rand, share, allOf float64) (service string, some []Target) {
	service = f.deployment.Kinds[r.IntN(len(f.deployment.Kinds))].Service
	n := 1 + int(r.Float64()*share*float64(f.targets.count(service)))
	if r.Float64() < allOf {
		n = f.targets.count(service)
	}
	return service, f.targets.some(r, service, n)
}

// pauseTargets makes some targets of a service, or all, ask for a pause.
func pauseTargets(ctx context.Context, f *fleet, r *rand.Rand) error {
	service, some := drawTargets(f, r, pausedShare, allPausedOf)
	d := between(r, minPause, maxPause)
	f.logger.Info("drill: pauses", "service", service, "targets", len(some), "for", d)
	for _, t := range some {
		t.Pause(d)
	}
	return sleep(ctx, d)
}

// limitTargets makes some targets of a service, or all, name limits for some seconds.
func limitTargets(ctx context.Context, f *fleet, r *rand.Rand) error {
	service, some := drawTargets(f, r, limitedShare, allLimitedOf)
	d := between(r, minLimitFor, maxLimitFor)
	f.logger.Info("drill: limits", "service", service, "targets", len(some), "for", d)
	for _, t := range some {
		f.targets.limit(t, minLimit+(maxLimit-minLimit)*r.Float64())
	}
	err := sleep(ctx, d)
	for _, t := range some {
		f.targets.limit(t, 0)
	}
	return err
}

const (
	minBearable, maxBearable     = 3, 8 // rejections within a second
	minBrittleFor, maxBrittleFor = 8 * time.Second, 14 * time.Second
)

// makeBrittle makes the targets of a plain service brittle and slow for some seconds.
func makeBrittle(ctx context.Context, f *fleet, r *rand.Rand) error {
	var services []string
	for _, k := range f.deployment.Kinds {
		if s := f.deployment.Service(k.Service); s.Engine == nil {
			services = append(services, k.Service)
		}
	}
	if len(services) == 0 {
		return nil
	}
	b := record.Brittle{Service: services[r.IntN(len(services))]}
	b.Targets, b.From = f.targets.count(b.Service), time.Now()
	bearable, d := minBearable+r.IntN(maxBearable-minBearable+1), between(r, minBrittleFor, maxBrittleFor)
	f.logger.Info("drill: brittle targets", "service", b.Service, "bearable", bearable, "for", d)
	f.targets.factory.SetBrittle(b.Service, bearable)
	err := sleep(ctx, d)
	f.targets.factory.SetBrittle(b.Service, 0)
	b.To = time.Now()
	f.log.Brittle(b)
	return err
}

const (
	minCut, maxCut = 8 * time.Second, 14 * time.Second
	cutDomainShare = 0.4 // of the cases, in which all hosts of a failure domain are cut off
	resetCutShare  = 0.5 // of the cases, in which open connections are reset
)

// cutHosts cuts some hosts, at least one and not all, off from all targets for some seconds.
func cutHosts(ctx context.Context, f *fleet, r *rand.Rand) error {
	var cut []*host
	if domain := f.deployment.Domains[r.IntN(len(f.deployment.Domains))].Name; r.Float64() < cutDomainShare {
		cut = f.front.ofDomain(domain)
	} else {
		for _, i := range r.Perm(len(f.hosts))[:1+r.IntN(max(1, len(f.hosts)/2))] {
			cut = append(cut, f.hosts[i])
		}
	}
	if len(cut) == len(f.hosts) {
		cut = cut[1:]
	}
	reset, d := r.Float64() < resetCutShare, between(r, minCut, maxCut)
	var names []string
	for _, h := range cut {
		names = append(names, h.name)
	}
	f.logger.Info("drill: cut", "hosts", names, "reset", reset, "for", d)
	from := time.Now()
	for _, h := range cut {
		f.targets.factory.Cut(h.ip, reset)
	}
	err := sleep(ctx, d)
	for _, h := range cut {
		f.targets.factory.Heal(h.ip)
	}
	f.log.Cut(record.Cut{Span: record.Span{From: from, To: time.Now()}, Hosts: names})
	return err
}

// freezeHost suspends a random host for some seconds.
func freezeHost(ctx context.Context, f *fleet, r *rand.Rand) error {
	h, d := f.hosts[r.IntN(len(f.hosts))], between(r, minFreeze, maxFreeze)
	if !h.mu.TryLock() {
		return nil
	}
	defer h.mu.Unlock()
	f.logger.Info("drill: freeze", "host", h.name, "for", d)
	h.process.signal(syscall.SIGSTOP)
	f.log.Host(h.name, record.Frozen)
	err := sleep(ctx, d)
	h.process.signal(syscall.SIGCONT)
	f.log.Host(h.name, record.Thawed)
	return err
}

const minFreeze, maxFreeze = 200 * time.Millisecond, 4 * time.Second

// crashByPrompt sends requests with a part of the prompt that crashes engines, which callers
// repeat.
func crashByPrompt(ctx context.Context, f *fleet, r *rand.Rand) error {
	part := fmt.Sprintf("%s%04x", CrashingPart, r.IntN(1<<16))
	f.logger.Info("drill: crashing prompt", "part", part)
	for range minCrashing + r.IntN(maxCrashing-minCrashing) {
		f.traffic.sendCrashing(ctx, r, part)
		if err := sleep(ctx, between(r, minCrashGap, maxCrashGap)); err != nil {
			return err
		}
	}
	return nil
}

// crashByRequest repeats a request that crashes plain targets, as often and as long as a caller that
// retries without waiting.
func crashByRequest(ctx context.Context, f *fleet, r *rand.Rand) error {
	crashing := f.traffic.newCrashing(r, fmt.Sprintf("%s%04x", CrashingPart, r.IntN(1<<16)))
	if crashing == nil {
		return nil
	}
	f.logger.Info("drill: crashing request", "path", crashing.path)
	ctx, stop := context.WithTimeout(ctx, between(r, minRepeatTime, maxRepeatTime))
	defer stop()
	for ctx.Err() == nil {
		f.traffic.repeat(f.ctx, r, crashing)
		_ = sleep(ctx, time.Duration(r.ExpFloat64()*float64(repeatGap)))
	}
	return nil
}

const (
	minRepeatTime, maxRepeatTime = 15 * time.Second, 60 * time.Second
	repeatGap                    = 60 * time.Millisecond
)

const (
	minCrashing, maxCrashing = 3, 12
	minCrashGap, maxCrashGap = 50 * time.Millisecond, 1500 * time.Millisecond
)

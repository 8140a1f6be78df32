package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
)

// Engines and long streams of the users' site bms-plavby.
const (
	siteEngines       = 12
	siteDomains       = 3
	sitePromptTokens  = 3000 // on average
	promptSpread      = 0.35 // of the logarithm
	maxPromptTokens   = 6000
	siteMemory        = 34181 // tokens of an engine
	siteSlotsOfEngine = 24
	lengthSpread      = 0.84 // of the logarithm
	maxLength         = 549  // events
	hintSpread        = 1.2  // of the logarithm of the caller's estimate, around the length
	siteCallers       = 3    // of each kind and host
)

// Moves on the links of the engines: 262,144 bytes a token at 38 Gbit/s.
const (
	moveSetup    = 330 * time.Microsecond
	movePerToken = 55189 * time.Nanosecond
)

const (
	reclaimInterval  = 3300 * time.Millisecond
	reclaimedAtOnce  = 2
	releasedEngines  = 5
	releasePause     = 2 * time.Second
	releaseStepPause = time.Second
	minReclaimNotice = 1500 * time.Millisecond
	maxReclaimNotice = 2100 * time.Millisecond
	// replacedAfter is how long after the notice another engine takes the place of one that leaves.
	replacedAfter = 4 * time.Second
	// crashEvidence is how long after its engine's crash a run ends at most.
	crashEvidence = 200 * time.Millisecond
)

// TestRestartsBesideReclaimsCutNoRequest restarts hosts as planned while engines leave at short
// notice, so that runs move between them all the time.
func TestRestartsBesideReclaimsCutNoRequest(t *testing.T) {
	t.Parallel()
	s := restartSite
	s.domains = siteDomains
	r := startRestartRun(t, s, *seed, restartLoad{engines: siteEngines, callersPerKind: siteCallers, varied: true})
	disturbed, end := context.WithCancel(t.Context())
	r.traffic.Go(func() { r.injectReclaims(disturbed, *seed) })
	r.traffic.Go(func() { r.injectReleases(disturbed, *seed) })
	r.restartHosts()
	r.restartHosts()
	end()
	r.end()
	r.checkNothingLost()
	r.summarizeCuts()
	r.countRepeats()
	r.countMoves()
}

// countRepeats logs the arrivals at engines beyond the first of each request in the window closest
// to the bound of the retry budget. Runs that continue from memory are counted apart.
func (r *restartRun) countRepeats() {
	var sent []time.Time
	for i := range r.uses {
		if r.uses[i].isStream() {
			sent = append(sent, r.uses[i].sent)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	first, again, moved := make(map[string]bool), []repeat(nil), []repeat(nil)
	for _, t := range r.targets {
		if t.engine == nil {
			continue
		}
		for _, a := range t.engine.Requests() {
			switch {
			case a.Header.Get(headers.ContinueFrom) != "":
				moved = append(moved, repeat{at: a.ReceivedAt})
			case first[a.ID()]:
				again = append(again, repeat{at: a.ReceivedAt})
			default:
				first[a.ID()] = true
			}
		}
	}
	all := slices.Concat(again, moved)
	slices.SortFunc(again, func(a, b repeat) int { return a.at.Compare(b.at) })
	slices.SortFunc(all, func(a, b repeat) int { return a.at.Compare(b.at) })
	end, bound := worstWindow(again, sent, float64(r.site.retrySlack))
	endOfAll, boundOfAll := worstWindow(all, sent, float64(r.site.retrySlack))
	r.t.Logf("SUM engines: %d streams, %d arrivals beyond the first, worst window %d of %.1f; %d to continue from memory, worst window of both %d of %.1f; %d ran on too many engines",
		len(sent), len(again), len(inWindow(again, end)), bound, len(moved), len(inWindow(all, endOfAll)), boundOfAll, r.countBeyondAttempts())
}

// countBeyondAttempts counts the streams that were begun on more engines than their route allows.
// Engines that ended meanwhile don't count, nor do those that continued from memory.
func (r *restartRun) countBeyondAttempts() int {
	seen, n := r.observations(), 0
	for i := range r.uses {
		u, engines := &r.uses[i], make(map[*target]bool)
		for _, o := range seen[u.id] {
			if !o.fromCopy && (!o.target.removed || o.target.removedAt.After(u.ended)) {
				engines[o.target] = true
			}
		}
		if u.isStream() && len(engines) > map[string]int{"draft": 1, "lookup": lookupAttempts}[u.route] {
			n++
		}
	}
	return n
}

// countMoves logs how the copies of runs ended, and how long the final ones took at most.
func (r *restartRun) countMoves() {
	counts, longest := make(map[string]int), 0
	for _, h := range r.hosts {
		text, err := os.ReadFile(h.process.LogPath)
		require.NoError(r.t, err)
		for line := range bytes.Lines(text) {
			var l struct {
				Msg, Result, Outcome string
				TookMS               int `json:"took_ms"`
			}
			if json.Unmarshal(line, &l) != nil || !strings.HasPrefix(l.Msg, "migration: ") && !strings.HasPrefix(l.Msg, "backup: replication") {
				continue
			}
			counts[l.Msg+" "+l.Result+l.Outcome]++
			if l.Msg == "migration: final copy" {
				longest = max(longest, l.TookMS)
			}
		}
	}
	r.t.Logf("SUM copies: %v; a final copy took %d ms at most", counts, longest)
}

// modelLength is the number of events of a request.
func modelLength(request string, most int) int {
	if most != maxLength {
		return most
	}
	hash := fnv.New64()
	_, _ = hash.Write([]byte(request))
	return min(logNormal(rand.New(rand.NewPCG(hash.Sum64(), 0)), longStream, lengthSpread), most)
}

// logNormal draws a positive number with the given mean and spread of the logarithm.
func logNormal(random *rand.Rand, mean, spread float64) int {
	return max(int(mean*math.Exp(random.NormFloat64()*spread-spread*spread/2)), 1)
}

// varyLength makes the request one for a stream of any length.
func (u *connectionUse) varyLength(random *rand.Rand) {
	u.events, u.promptTokens = maxLength, min(logNormal(random, sitePromptTokens, promptSpread), maxPromptTokens)
	u.hintedEvents = max(int(float64(modelLength(u.id, maxLength))*math.Exp(random.NormFloat64()*hintSpread)), 1)
}

// injectReclaims makes engines leave at short notice until ctx ends. Others replace them. It has
// its own random source, so that the restarts of a seed stay as they are.
func (r *restartRun) injectReclaims(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	for ctx.Err() == nil {
		r.reclaimSome(random)
		pause(ctx, reclaimInterval)
	}
}

// injectReleases replaces part of the engines one after the other, again and again, until ctx ends.
func (r *restartRun) injectReleases(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	for ctx.Err() == nil {
		for range releasedEngines {
			if engines := r.activeTargets(engineService); len(engines) > reclaimedAtOnce {
				leaving := engines[random.IntN(len(engines))]
				r.addEngine()
				r.traffic.Go(func() { r.reclaim(leaving, leavingBound+schedulingSlack) })
			}
			pause(ctx, releaseStepPause)
		}
		pause(ctx, releasePause)
	}
}

// reclaimSome makes engines leave, which others replace, and returns at once.
func (r *restartRun) reclaimSome(random *rand.Rand) {
	engines := r.activeTargets(engineService)
	for _, n := range random.Perm(len(engines))[:min(reclaimedAtOnce, max(len(engines)-reclaimedAtOnce, 0))] {
		notice := between(random, minReclaimNotice, maxReclaimNotice)
		r.traffic.Go(func() { r.reclaim(engines[n], notice) })
		r.traffic.Go(func() {
			time.Sleep(replacedAfter)
			r.addEngine()
		})
	}
}

// reclaim makes an engine state that it leaves, and ends it a while later, whatever runs there.
func (c *cluster) reclaim(t *target, notice time.Duration) {
	t.leave()
	c.register(t, "draining")
	c.mu.Lock()
	t.leavingSince = time.Now()
	c.mu.Unlock()
	time.Sleep(notice)
	c.removeTarget(t)
}

// brokenOff reports whether the crash of its engine ended the last run of a request.
func brokenOff(seen []observation) bool {
	last := seen[len(seen)-1]
	removed := last.target.removedAt
	return !removed.IsZero() && !last.stopped && !last.completed && !last.endedAt.Before(removed) && last.endedAt.Before(removed.Add(crashEvidence))
}

// summarizeCuts counts the requests that were cut, by what their run ended with, the planned work
// beside which they were cut and whether that is excused.
func (r *restartRun) summarizeCuts() {
	seen := r.observations()
	counts := make(map[string]int)
	for i := range r.uses {
		u := &r.uses[i]
		if u.abandoned || u.err == nil || len(seen[u.id]) == 0 {
			continue
		}
		kind := "excused"
		if r.checkLost(u, seen[u.id], true) != "" {
			kind = "LOST"
		}
		end := r.runEnd(u, seen[u.id])
		if end == crashedCopied && kind != "LOST" {
			r.t.Logf("engine crashed, %s is held elsewhere:\n%s", u.id, r.explain(u, seen[u.id], u.host.logLines(u.id)))
		}
		counts[fmt.Sprintf("%s/%s/%s", kind, r.workBeside(u), end)]++
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s=%d", k, counts[k]))
	}
	r.t.Logf("SUM %s", strings.Join(out, " "))
}

// workBeside returns the planned work beside which a request was cut.
func (r *restartRun) workBeside(u *connectionUse) string {
	if r.stopBefore(u.host, u.ended) != nil {
		return "SIGTERM"
	}
	for _, l := range r.reloads {
		if l.host == u.host && u.sent.Before(l.at.Add(r.site.apply)) && u.ended.After(l.at) {
			return "SIGHUP"
		}
	}
	for _, v := range r.versions {
		if u.ended.After(v.sent) && u.ended.Before(v.acked.Add(r.site.apply+time.Second)) {
			return "configuration"
		}
	}
	return "none"
}

// crashedCopied is the end of a run whose engine crashed while another one held a copy.
const crashedCopied = "crashed, copied"

// runEnd describes the end of the last run of a request.
func (r *restartRun) runEnd(u *connectionUse, seen []observation) string {
	last := seen[len(seen)-1]
	switch {
	case last.completed:
		return "complete"
	case last.stopped && r.copiedElsewhere(u, last.target):
		return "stopped, copied"
	case last.stopped:
		return "stopped"
	case brokenOff(seen) && r.copiedElsewhere(u, last.target):
		return crashedCopied
	case brokenOff(seen):
		return "crashed"
	default:
		return "at work"
	}
}

// copiedElsewhere reports whether an engine that ran when the request ended has received a copy
// of its run.
func (r *restartRun) copiedElsewhere(u *connectionUse, last *target) bool {
	return slices.ContainsFunc(r.targets, func(t *target) bool {
		return t != last && t.engine != nil && (!t.removed || t.removedAt.After(u.ended)) && t.engine.ReceivedCopy(u.id)
	})
}

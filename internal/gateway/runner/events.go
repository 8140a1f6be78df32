package runner

import (
	"errors"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/forwardconn"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
)

// recordFailure stores the error of an attachment and reports to the agents what it
// says about the target.
func (s *session) recordFailure(err error, failure stream.Failure) {
	s.lastErr = err
	target := s.slot.Target.Name
	event := control.Event{ID: ids.New(), Target: target, Seen: time.Now()}
	var rejected *engineclient.RejectedError
	switch {
	case failure == stream.FailureCrashed && s.job.Admit.Fingerprint == 0:
		event.Kind = control.EventDown // the request of this attachment is not known
	case failure == stream.FailureCrashed:
		s.crashes++
		s.tokensAtCrash = len(s.machine.Tokens())
		event.Kind = control.EventCrash
		event.Ticket = s.slot.Ticket()
		event.Fingerprint = s.job.Admit.Fingerprint
		event.Produced = len(s.machine.Tokens())
		if event.Produced == 0 {
			event.Prefixes = s.runner.branches.Choose(s.job.Admit.PrefixHashes, maxReportedPrefixes)
		}
		event.Beside = s.runner.fleet.InFlight().CoResidents(target, s.job.Admit.Fingerprint)
	case errors.As(err, &rejected) && rejected.Problem.Kind == problem.KindDraining:
		event.Kind = control.EventLeaving
	case failure == stream.FailureNotSent && !errors.Is(err, forwardconn.ErrCutOff):
		event.Kind = control.EventDown
	default:
		return
	}
	s.events = append(s.events, event)
	s.runner.fleet.Report(event)
}

// maxReportedPrefixes bounds the prefixes of a crash report; agents keep no more.
const maxReportedPrefixes = 16

// survivalTokens is the number of tokens past the point of a crash that a request must
// reach to count as having survived the crash: a request that causes crashes, when it is
// continued, crashes the next engine at the same token. The second token allows for the
// step in progress at the crash.
const survivalTokens = 2

// reportSurvival reports to the agents, once for each crash, that the request has run
// on past the point at which an engine crashed.
func (s *session) reportSurvival(offset int) {
	if s.survivedCrashes == s.crashes || offset < s.tokensAtCrash+survivalTokens {
		return
	}
	s.survivedCrashes = s.crashes
	s.runner.fleet.Report(control.Event{
		ID: ids.New(), Kind: control.EventSurvived, Fingerprint: s.job.Admit.Fingerprint, Seen: time.Now(),
	})
}

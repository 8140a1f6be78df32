package runner

import (
	"errors"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/problem"
	"corianderhitch/internal/engineclient"
	"corianderhitch/internal/gateway/ids"
	"corianderhitch/internal/gateway/stream"
)

// note remembers the error of an attachment and tells the agents what it means.
func (s *session) note(err error, failure stream.Failure) {
	s.lastErr = err
	target := s.place.Target.Name
	news := control.Event{ID: ids.New(), Target: target, Seen: time.Now()}
	var refused *engineclient.RejectedError
	switch {
	case failure == stream.FailureCrashed && s.job.Admit.Fingerprint == 0:
		news.Kind = control.EventDown // an attachment whose request is not known
	case failure == stream.FailureCrashed:
		s.deaths++
		s.diedAt = len(s.machine.Tokens())
		news.Kind = control.EventCrash
		news.Ticket = s.place.Ticket()
		news.Fingerprint = s.job.Admit.Fingerprint
		news.Produced = len(s.machine.Tokens())
		news.Beside = s.r.fleet.InFlight().CoResidents(target, s.job.Admit.Fingerprint)
	case errors.As(err, &refused) && refused.Problem.Kind == problem.KindDraining:
		news.Kind = control.EventLeaving
	case failure == stream.FailureNotSent:
		news.Kind = control.EventDown
	default:
		return
	}
	s.news = append(s.news, news)
	s.r.fleet.Report(news)
}

// passTokens is the number of tokens after a death from which a request is cleared
// of it: one that crashes its engine does so again at the same token when it is
// continued. One token more allows for the step that was under way.
const passTokens = 2

// notePassed tells the agents once that the request has run on past the point at
// which an engine died under it.
func (s *session) notePassed(offset int) {
	if s.passed == s.deaths || offset < s.diedAt+passTokens {
		return
	}
	s.passed = s.deaths
	s.r.fleet.Report(control.Event{
		ID: ids.New(), Kind: control.EventSurvived, Fingerprint: s.job.Admit.Fingerprint, Seen: time.Now(),
	})
}

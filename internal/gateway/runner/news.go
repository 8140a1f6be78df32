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
	news := control.News{ID: ids.New(), Target: target, Seen: time.Now()}
	var refused *engineclient.RefusedError
	switch {
	case failure == stream.FailureDied && s.job.Admit.Fingerprint == 0:
		news.Kind = control.NewsDown // an attachment whose request is not known
	case failure == stream.FailureDied:
		s.deaths++
		news.Kind = control.NewsCrash
		news.Ticket = s.place.Ticket()
		news.Fingerprint = s.job.Admit.Fingerprint
		news.Beside = s.r.fleet.InFlight().Beside(target, s.job.Admit.Fingerprint)
	case errors.As(err, &refused) && refused.Problem.Kind == problem.KindDraining:
		news.Kind = control.NewsLeaving
	case failure == stream.FailureNotSent:
		news.Kind = control.NewsDown
	default:
		return
	}
	s.news = append(s.news, news)
	s.r.fleet.Report(news)
}

package process

import (
	"net/http"
	"slices"

	"corianderhitch/internal/edge/targetspeed"
)

// comparedTargets lists the targets whose speeds are compared with each other. Leaving ones are left
// out: their runs move off, which slows down those that stay.
func (p *Process) comparedTargets() []targetspeed.Service {
	c := p.policy.Current()
	if c == nil {
		return nil
	}
	var services []targetspeed.Service
	view := p.targets.View()
	for _, name := range slices.Sorted(slices.Values(c.ServiceNames())) {
		s := targetspeed.Service{Name: name}
		for _, t := range view.Serving(name) {
			s.Targets = append(s.Targets, t.Key())
		}
		services = append(services, s)
	}
	return services
}

// pages returns the pages for operators, by path.
func (p *Process) pages() map[string]http.Handler {
	return map[string]http.Handler{"/targets/speed": p.speeds}
}

// onSpeedChange logs that the speed of a target has begun or ceased to differ from its service's.
func (p *Process) onSpeedChange(c targetspeed.Change) {
	message := "speed: target is slow"
	switch {
	case c.Factor == 1:
		message = "speed: target has recovered"
	case c.Factor < 1:
		message = "speed: target is fast"
	}
	p.log.Info(message, "target", c.Target, "service", c.Service, "factor", c.Factor, "samples", c.Samples, "trust", c.Trust, "age_ms", c.Age.Milliseconds())
}

package document

import "slices"

// Defaults of fields that a document may leave out.
const (
	DefaultFirstTokenMS     = 800
	DefaultInterTokenMS     = 34
	DefaultOverflowPercent  = 1.0
	DefaultWeight           = 1.0
	DefaultRouteTimeoutMS   = 5000
	DefaultLateAnswerHours  = 72
	DefaultCallOutcomeHours = 72
)

// Normalize returns a copy of the document with all defaults filled in, so that
// hosts of different releases interpret an accepted document in the same way.
func Normalize(d Document) Document {
	d.Objectives = normalizeObjectives(d.Objectives)
	d.Models = append([]Model{}, d.Models...)
	d.Classes = normalizeClasses(d.Classes)
	d.Accounts = append([]Account{}, d.Accounts...)
	for i := range d.Accounts {
		normalizeAccount(&d.Accounts[i])
	}
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		normalizeService(&d.Services[i])
	}
	d.Retention.LateAnswerHours = orDefault(d.Retention.LateAnswerHours, DefaultLateAnswerHours)
	d.Retention.CallOutcomeHours = orDefault(d.Retention.CallOutcomeHours, DefaultCallOutcomeHours)
	return d
}

func normalizeObjectives(o Objectives) Objectives {
	o.FirstTokenMS = orDefault(o.FirstTokenMS, DefaultFirstTokenMS)
	o.InterTokenMS = orDefault(o.InterTokenMS, DefaultInterTokenMS)
	o.OverflowPercent = orDefault(o.OverflowPercent, DefaultOverflowPercent)
	return o
}

func normalizeClasses(classes []Class) []Class {
	classes = slices.Clone(classes)
	if !hasClass(classes, ClassInteractive) {
		classes = append(classes, Class{Name: ClassInteractive, Priority: interactivePriority})
	}
	if !hasClass(classes, ClassLate) {
		classes = append(classes, Class{Name: ClassLate, Priority: latePriority, MayArriveLate: true})
	}
	return classes
}

func hasClass(classes []Class, name string) bool {
	return slices.ContainsFunc(classes, func(c Class) bool { return c.Name == name })
}

func normalizeAccount(a *Account) {
	a.Weight = orDefault(a.Weight, DefaultWeight)
	a.Serves = slices.Clone(a.Serves)
	for i := range a.Serves {
		a.Serves[i].Class = orDefault(a.Serves[i].Class, ClassInteractive)
	}
}

func normalizeService(s *Service) {
	s.Routes = slices.Clone(s.Routes)
	for i := range s.Routes {
		s.Routes[i].TimeoutMS = orDefault(s.Routes[i].TimeoutMS, DefaultRouteTimeoutMS)
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

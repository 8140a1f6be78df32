package forwardconn

import (
	"iter"

	"corianderhitch/api/control"
)

// Rows implements Targets for the table of targets, of which it returns the present rows.
type Rows func() iter.Seq[control.TargetState]

var _ Targets = Rows(nil)

// Service implements Targets.
func (rows Rows) Service(address string) string {
	for row := range rows() {
		if row.Address == address && !row.Left {
			return serviceOf(row)
		}
	}
	return ""
}

// Addresses implements Targets. Targets that are not healthy count only if none is.
func (rows Rows) Addresses(service string) []string {
	var healthy, others []string
	for row := range rows() {
		switch {
		case row.Left || serviceOf(row) != service:
		case row.Healthy:
			healthy = append(healthy, row.Address)
		default:
			others = append(others, row.Address)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return others
}

// serviceOf returns the plain service of a target; all engines are one.
func serviceOf(row control.TargetState) string { return string(row.Kind) + "/" + row.Service }

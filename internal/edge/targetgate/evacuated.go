package targetgate

import "corianderhitch/internal/edge/targetconn"

// evacuated reports whether a request would reach a target of an evacuated failure domain, or make
// another target copy a run there.
func (g *Gate) evacuated(incarnation string, r *targetconn.Request) bool {
	view := g.Targets.View()
	return !r.Use.ReachesEvacuated() && view.Evacuated(incarnation) || r.CopyTo != "" && view.Evacuated(r.CopyTo)
}

package deployment

import "github.com/rotisserie/eris"

// Validate returns an error if the description refers to something that it lacks.
func (d *Deployment) Validate() error {
	if d.Hosts() == 0 || len(d.Callers) == 0 {
		return eris.Errorf("deployment %q: %d hosts and %d groups of callers; at least one of each is needed", d.Name, d.Hosts(), len(d.Callers))
	}
	for _, k := range d.Kinds {
		if d.Service(k.Service) == nil {
			return eris.Errorf("deployment %q: requests %q go to the unknown service %q", d.Name, k.Name, k.Service)
		}
	}
	for _, c := range d.Callers {
		for name := range c.Mix {
			if d.Kind(name) == nil {
				return eris.Errorf("deployment %q: callers in %q send unknown requests %q", d.Name, c.Domain, name)
			}
		}
	}
	return nil
}

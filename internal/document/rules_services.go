package document

import "strings"

func (c *checker) checkServices() {
	seen := newNames(c.problems, "service")
	for i := range c.d.Services {
		s := &c.d.Services[i]
		at := path{"services"}.index(i)
		seen.see(at.field("name"), s.Name)
		c.services[s.Name] = true
		c.checkRoutes(at.field("routes"), s.Routes)
	}
}

// checkRoutes refuses paths that callers cannot reach and two routes that claim
// the same calls. A path below another one is fine: the longest decides.
func (c *checker) checkRoutes(at path, routes []Route) {
	first := make(map[[2]string]path)
	for i, r := range routes {
		here := at.index(i)
		if !c.refused(here.field("path")) && !IsCleanPath(r.Path) {
			c.add(here.field("path"), "write the path without empty, . and .. segments", "is %q, which no call can match", r.Path)
			continue
		}
		for j, method := range r.Methods {
			key := [2]string{routePrefix(r.Path), method}
			other, overlaps := first[key]
			if overlaps && !c.refused(here.field("path")) {
				c.add(here.field("methods").index(j), "remove the method from one of the two routes",
					"is %s on %q, which overlaps with %s", method, r.Path, other)
				continue
			}
			first[key] = here
		}
	}
}

// CleanPath tells whether a path starts with a slash and has no empty, "." or
// ".." segments (one slash at the end is fine). Other paths match no route,
// because a target might read them as a path of another route.
func IsCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	for rest := p[1:]; rest != ""; {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		if !more {
			return true
		}
		rest = after
	}
	return true
}

// routePrefix is the path of a route without a slash at the end.
func routePrefix(p string) string { return strings.TrimSuffix(p, "/") }

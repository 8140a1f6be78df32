package document

import "strings"

func (c *checker) checkServices() {
	seen := newUniqueNames(c.problems, "service")
	for i := range c.d.Services {
		s := &c.d.Services[i]
		at := path{"services"}.index(i)
		seen.add(at.field("name"), s.Name)
		c.services[s.Name] = true
		c.checkRoutes(at.field("routes"), s.Routes)
	}
}

// checkRoutes reports paths that no call can match and pairs of routes that match
// the same calls. A path below another one is allowed: the longest path matches.
func (c *checker) checkRoutes(at path, routes []Route) {
	first := make(map[[2]string]path)
	for i, r := range routes {
		routePath := at.index(i)
		if !c.isInvalid(routePath.field("path")) && !IsCleanPath(r.Path) {
			c.add(routePath.field("path"), "write the path without empty, . and .. segments", "is %q, which no call can match", r.Path)
			continue
		}
		for j, method := range r.Methods {
			key := [2]string{routePrefix(r.Path), method}
			other, overlaps := first[key]
			if overlaps && !c.isInvalid(routePath.field("path")) {
				c.add(routePath.field("methods").index(j), "remove the method from one of the two routes",
					"is %s on %q, which overlaps with %s", method, r.Path, other)
				continue
			}
			first[key] = routePath
		}
	}
}

// IsCleanPath reports whether a path starts with a slash and has no empty, "." or
// ".." segments (one trailing slash is allowed). Other paths match no route,
// because a target might resolve them to a path of another route.
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

// routePrefix returns the path of a route without a trailing slash.
func routePrefix(p string) string { return strings.TrimSuffix(p, "/") }

// Package policy holds the routing configuration: routes, services and the API keys
// of client accounts. Configurations are immutable.
package policy

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// Account is a client account with its API keys.
type Account struct {
	Name     string
	Priority *int // overrides the priority of routes; nil for none
	Keys     []string
	// AllowedRegions are the regions in which its requests may run; empty for all.
	AllowedRegions []string
}

// Limits bound the requests of callers.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int           // of a request; 0 if not stated
	HeaderTimeout  time.Duration // how long a caller may take for a request's headers; 0 if not stated
	IdleTimeout    time.Duration // how long a caller's connection may stay idle; 0 if not stated
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	byHost   map[string]map[string]*Route // by HTTP host, then path prefix
	byKey    map[string]*Account
	keyed    bool // see RequiresKeys
}

// New returns a configuration with indexes. It keeps the slices, which callers must
// not change afterwards. accounts is nil for a deployment without client accounts, and empty
// for one that has no account left.
func New(version int64, limits Limits, routes []Route, services []Service, accounts []Account) *Configuration {
	c := &Configuration{
		Version:  version,
		Limits:   limits,
		services: make(map[string]*Service, len(services)),
		byHost:   make(map[string]map[string]*Route),
		byKey:    make(map[string]*Account),
		keyed:    accounts != nil,
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if c.byHost[host] == nil {
			c.byHost[host] = make(map[string]*Route)
		}
		c.byHost[host][r.Prefix] = r
	}
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			if key != "" { // a request without a key has the empty one
				c.byKey[key] = &accounts[i]
			}
		}
	}
	return c
}

// MatchRoute returns the route of an HTTP host with the longest prefix of the path,
// or nil. The host is compared without case and may include a port.
func (c *Configuration) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	routes := c.byHost[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = c.byHost[host[:i]]
		}
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := routes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns the service with a name, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// AccountByKey returns the client account that an API key belongs to, or nil.
func (c *Configuration) AccountByKey(key string) *Account { return c.byKey[key] }

// RequiresKeys reports whether routes that are not public need an API key. That follows from the
// client accounts and not from their keys: a configuration whose last key was withdrawn serves
// nobody on these routes.
func (c *Configuration) RequiresKeys() bool { return c.keyed }

// ServiceNames returns the names of all services, in no order.
func (c *Configuration) ServiceNames() []string { return slices.Collect(maps.Keys(c.services)) }

// EngineServices returns the names of the services of model engines, sorted.
func (c *Configuration) EngineServices() []string {
	var names []string
	for name, s := range c.services {
		if s.Engine != nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

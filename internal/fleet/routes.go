package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// RouteTable maps requests to routes by host and path prefix. It is immutable.
type RouteTable struct {
	Config *Config
	hosts  map[string][]*Route // longest prefix first
}

// NewRouteTable indexes the routes of a configuration.
func NewRouteTable(c *Config) *RouteTable {
	t := &RouteTable{Config: c, hosts: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix, or nil
// if there is none. A port in the host is ignored unless a route names it.
func (t *RouteTable) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := t.hosts[host]
	if !found {
		if name, _, cut := strings.Cut(host, ":"); cut {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// PickService returns one of the route's services at random, by weight. It returns an
// empty string if the route has no backends.
func (r *Route) PickService() string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := rand.Float64() * total
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

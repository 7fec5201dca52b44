package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// RouteTable finds the route of a request. It is immutable.
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

// Match returns the route with the longest prefix of the path, or nil. A port in
// the host is ignored.
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

// Choose returns a service of the route at random, by weight.
func (r *Route) Choose() string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := rand.Float64() * total
	for _, b := range r.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

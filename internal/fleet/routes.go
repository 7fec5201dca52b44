package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"

	"cicadaslip/internal/credentials"
)

// RouteTable maps requests to routes by host and path prefix, and keys to organisations. It is
// immutable.
type RouteTable struct {
	Config *Config
	hosts  map[string][]*Route // longest prefix first
	keys   *credentials.Index  // by index in Config.Organisations, nil without organisations
	names  map[string]struct{} // of the organisations
}

// NewRouteTable indexes the routes and keys of a configuration.
func NewRouteTable(c *Config) *RouteTable {
	t := &RouteTable{Config: c, hosts: map[string][]*Route{}, names: make(map[string]struct{}, len(c.Organisations))}
	for i := range c.Organisations {
		t.names[c.Organisations[i].Name] = struct{}{}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	if c.NeedsKeys {
		t.keys = credentials.NewIndex()
		for i := range c.Organisations {
			for _, key := range c.Organisations[i].Keys {
				t.keys.Add(key, i)
			}
		}
	}
	return t
}

// HasOrganisation reports whether the configuration has an organisation of a name.
func (t *RouteTable) HasOrganisation(name string) bool {
	_, found := t.names[name]
	return found
}

// Organisation returns the organisation that holds a key, or nil if none does.
func (t *RouteTable) Organisation(key string) *Organisation {
	if t.keys == nil {
		return nil
	}
	i, found := t.keys.Find(key)
	if !found {
		return nil
	}
	return &t.Config.Organisations[i]
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

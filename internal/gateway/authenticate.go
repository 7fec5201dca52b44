package gateway

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
)

// unconfirmedKeyRetry is the Retry-After time for callers whose key this VM can't judge. It is
// short because other VMs may know.
const unconfirmedKeyRetry = 300 * time.Millisecond

// authenticate finds the organisation that holds the caller's key, and replaces the key by the
// organisation's name in the fields to forward. Without organisations it does nothing.
func (c *call) authenticate(routes *fleet.RouteTable) *errs.Error {
	if !routes.Config.NeedsKeys {
		return nil
	}
	key := c.meta.Key
	c.meta.Key = ""
	c.organisation = routes.Organisation(key)
	name := ""
	if c.organisation != nil {
		name = c.organisation.Name
	}
	c.forwardFields = c.server.opt.Dialect.WithOrganisation(c.forwardFields, name)
	switch {
	case c.route.Public:
		return nil
	case c.server.opt.Fleet.KeysUnconfirmed():
		return errs.NotRun(errs.NotReady, "keys may have been withdrawn since this VM last confirmed its configuration").WithRetry(unconfirmedKeyRetry)
	case c.organisation != nil:
		return nil
	case key != "" && (routes.Config.KeysIncomplete || c.server.opt.Fleet.Outdated()):
		return errs.NotRun(errs.NotReady, "the key is not in the configuration of this VM, which is not complete").WithRetry(unconfirmedKeyRetry)
	}
	return errs.New(errs.Unauthenticated, "the request has no valid key")
}

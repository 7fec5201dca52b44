package groupclient

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/placer"
)

// hedgeAnswerTimeout is the time after which a question for a second attempt is given up. An owner
// answers it at once, and a later answer would come too late to be of use.
const hedgeAnswerTimeout = 200 * time.Millisecond

// acquireHedge asks one owner for a second attempt: the first in the order of the request's
// groups, where other targets may have the adapter. Without an owner there is none, because no
// view of a single VM shows what the other VMs send.
func (c *Client) acquireHedge(ctx context.Context, service string, request placer.Request) (gateway.Lease, *errs.Error) {
	ctx, cancel := context.WithTimeout(ctx, hedgeAnswerTimeout)
	defer cancel()
	owners := c.candidates(c.opt.Groups.RankedGroups(service, request.Adapter.Model+"/"+request.Adapter.Name))
	return c.askOwners(ctx, owners[:min(1, len(owners))], request, time.Now())
}

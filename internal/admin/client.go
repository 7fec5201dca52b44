package admin

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/account"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// Caller calls a net/rpc method of a daemon. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Client queries a set of daemons. The context of a method bounds its calls; a
// daemon that does not answer in time is reported with an error.
type Client struct {
	caller    Caller
	addresses []string // peer RPC addresses, "ip:port"
}

// NewClient returns a client for the peer RPC addresses ("ip:port") of daemons.
func NewClient(caller Caller, addresses []string) *Client {
	return &Client{caller: caller, addresses: addresses}
}

// Answer is the reply of one daemon. Value is valid only if Err is nil.
type Answer[T any] struct {
	Address string
	Value   T
	Err     *errs.Error
}

// NoAnswer returns the addresses of the daemons whose answers have an error.
func NoAnswer[T any](answers []Answer[T]) []string {
	var addresses []string
	for _, answer := range answers {
		if answer.Err != nil {
			addresses = append(addresses, answer.Address)
		}
	}
	return addresses
}

// Status returns the status of every daemon.
func (c *Client) Status(ctx context.Context) []Answer[Status] {
	return callAll(ctx, c, "Status", Empty{}, func(r StatusReply) (Status, *errs.Error) { return r.Status, r.Err })
}

// Targets returns the targets of the groups that each daemon owns.
func (c *Client) Targets(ctx context.Context) []Answer[TargetsReply] {
	return callAll(ctx, c, "Targets", Empty{}, func(r TargetsReply) (TargetsReply, *errs.Error) { return r, r.Err })
}

// Adapters returns the adapters that the filter selects on the targets of the
// groups that each daemon owns.
func (c *Client) Adapters(ctx context.Context, filter AdapterFilter) []Answer[AdaptersReply] {
	return callAll(ctx, c, "Adapters", filter, func(r AdaptersReply) (AdaptersReply, *errs.Error) { return r, r.Err })
}

// Arrivals returns the newest requests that arrived at each daemon at or after
// the time from, at most MaxArrivals for each daemon.
func (c *Client) Arrivals(ctx context.Context, from time.Time) []Answer[ArrivalsReply] {
	return callAll(ctx, c, "Arrivals", ArrivalsRequest{From: from}, func(r ArrivalsReply) (ArrivalsReply, *errs.Error) { return r, r.Err })
}

// Drain starts the drain of every daemon.
func (c *Client) Drain(ctx context.Context) []Answer[Empty] {
	return callAll(ctx, c, "Drain", Empty{}, func(r DrainReply) (Empty, *errs.Error) { return Empty{}, r.Err })
}

// Timeline merges the timelines of all daemons in causal order. The limit of
// the filter applies to each daemon separately.
func (c *Client) Timeline(ctx context.Context, filter timeline.Filter) timeline.Merged {
	answers := callAll(ctx, c, "Timeline", filter, func(r TimelineReply) (timeline.Answer, *errs.Error) { return r.Answer, r.Err })
	parts := make([]timeline.Answer, 0, len(answers))
	for _, answer := range answers {
		if answer.Err != nil {
			answer.Value = timeline.Answer{Process: answer.Address, NoAnswer: true}
		}
		parts = append(parts, answer.Value)
	}
	return timeline.Merge(parts)
}

// Usage reconciles the usage recorded by all daemons with the documents in the
// store: those under account.Prefix and those of the roll-ups.
func (c *Client) Usage(ctx context.Context, stored []account.Document) account.Report {
	answers := callAll(ctx, c, "Usage", Empty{}, func(r UsageReply) (account.Answer, *errs.Error) { return r.Answer, r.Err })
	parts := make([]account.Answer, 0, len(answers))
	for _, answer := range answers {
		if answer.Err != nil {
			answer.Value = account.Answer{Process: answer.Address, NoAnswer: true}
		}
		parts = append(parts, answer.Value)
	}
	return account.Reconcile(stored, parts)
}

// callAll calls a method of all daemons in parallel. The answers have the order
// of the addresses.
func callAll[R, T any](ctx context.Context, c *Client, method string, args any, unpack func(R) (T, *errs.Error)) []Answer[T] {
	answers := make([]Answer[T], len(c.addresses))
	var calls sync.WaitGroup
	for i, address := range c.addresses {
		calls.Go(func() {
			var reply R
			answers[i].Address = address
			if err := c.caller.Call(ctx, address, ServiceName+"."+method, args, &reply); err != nil {
				answers[i].Err = errs.As(err)
				return
			}
			answers[i].Value, answers[i].Err = unpack(reply)
		})
	}
	calls.Wait()
	return answers
}

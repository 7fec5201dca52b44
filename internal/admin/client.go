package admin

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/account"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// Caller makes calls to a daemon. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Client asks daemons. The context bounds each question: a daemon that does not
// answer in time is listed as such.
type Client struct {
	caller    Caller
	addresses []string
}

// NewClient returns a client for the peer RPC addresses ("ip:port") of daemons.
func NewClient(caller Caller, addresses []string) *Client {
	return &Client{caller: caller, addresses: addresses}
}

// Answer is what one daemon replied. Value is empty if Err is set.
type Answer[T any] struct {
	Address string
	Value   T
	Err     *errs.Error
}

// NoAnswer returns the addresses of the answers with an error.
func NoAnswer[T any](answers []Answer[T]) []string {
	var addresses []string
	for _, answer := range answers {
		if answer.Err != nil {
			addresses = append(addresses, answer.Address)
		}
	}
	return addresses
}

// Status asks every daemon for its status.
func (c *Client) Status(ctx context.Context) []Answer[Status] {
	return ask(ctx, c, "Status", Empty{}, func(r StatusReply) (Status, *errs.Error) { return r.Status, r.Err })
}

// Targets asks every daemon for the targets of its groups.
func (c *Client) Targets(ctx context.Context) []Answer[TargetsReply] {
	return ask(ctx, c, "Targets", Empty{}, func(r TargetsReply) (TargetsReply, *errs.Error) { return r, r.Err })
}

// Adapters asks every daemon for the adapters on those targets.
func (c *Client) Adapters(ctx context.Context, filter AdapterFilter) []Answer[AdaptersReply] {
	return ask(ctx, c, "Adapters", filter, func(r AdaptersReply) (AdaptersReply, *errs.Error) { return r, r.Err })
}

// Arrivals asks every daemon for the requests that arrived from a time on.
func (c *Client) Arrivals(ctx context.Context, from time.Time) []Answer[ArrivalsReply] {
	return ask(ctx, c, "Arrivals", ArrivalsRequest{From: from}, func(r ArrivalsReply) (ArrivalsReply, *errs.Error) { return r, r.Err })
}

// Drain asks every daemon to drain.
func (c *Client) Drain(ctx context.Context) []Answer[Empty] {
	return ask(ctx, c, "Drain", Empty{}, func(r DrainReply) (Empty, *errs.Error) { return Empty{}, r.Err })
}

// Timeline merges the timelines of all daemons in causal order. The limit
// applies to each daemon.
func (c *Client) Timeline(ctx context.Context, filter timeline.Filter) timeline.Merged {
	answers := ask(ctx, c, "Timeline", filter, func(r TimelineReply) (timeline.Answer, *errs.Error) { return r.Answer, r.Err })
	parts := make([]timeline.Answer, 0, len(answers))
	for _, answer := range answers {
		if answer.Err != nil {
			answer.Value = timeline.Answer{Process: answer.Address, NoAnswer: true}
		}
		parts = append(parts, answer.Value)
	}
	return timeline.Merge(parts)
}

// Usage reconciles the account of all daemons with the documents that the store
// holds under account.Prefix.
func (c *Client) Usage(ctx context.Context, stored []account.Document) account.Report {
	answers := ask(ctx, c, "Usage", Empty{}, func(r UsageReply) (account.Answer, *errs.Error) { return r.Answer, r.Err })
	parts := make([]account.Answer, 0, len(answers))
	for _, answer := range answers {
		if answer.Err != nil {
			answer.Value = account.Answer{Process: answer.Address, NoAnswer: true}
		}
		parts = append(parts, answer.Value)
	}
	return account.Reconcile(stored, parts)
}

// ask calls a method of all daemons in parallel. The answers are in the order of
// the addresses.
func ask[R, T any](ctx context.Context, c *Client, method string, args any, unpack func(R) (T, *errs.Error)) []Answer[T] {
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

package target

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Order sends a load or evict order with its fencing token and returns the
// outcome as an event of the core:
//   - OrderDone: the target confirmed the order.
//   - OrderFailed: the order certainly has no effect, now or later, because no
//     byte of it was sent, the target refused it, or the target reported that
//     the load failed.
//   - OrderOutcomeUnknown: the order may have taken or may still take effect, for
//     example because the response was lost.
func (c *Client) Order(ctx context.Context, to model.Target, intent core.Intent) core.Event {
	path := "/v1/load_lora_adapter"
	if intent.Kind == core.IntentEvict {
		path = "/v1/unload_lora_adapter"
	}
	req := newRequest(fasthttp.MethodPost, to.Address, path)
	req.Header.SetContentType(contentTypeJSON)
	req.Header.Set(headerFencingToken, strconv.FormatUint(uint64(intent.Epoch), 10))
	body, err := json.Marshal(map[string]string{"lora_name": intent.Adapter.String()})
	if err != nil {
		return core.OrderFailed{ID: intent.ID, Err: errs.Wrap(err, errs.Internal, "order was not encoded")}
	}
	req.SetBodyRaw(body)
	resp, failure := c.roundTrip(ctx, to.Address, req, c.cfg.OrderTimeout, maxControlResponseBytes)
	return orderResult(intent.ID, resp, failure)
}

// orderResult converts the response to an order, or the failure to get one, to
// an event of the core.
func orderResult(id uint64, resp *fasthttp.Response, failure *errs.Error) core.Event {
	switch {
	case failure != nil && failure.Ran == errs.RanNo:
		return core.OrderFailed{ID: id, Err: failure}
	case failure != nil:
		return core.OrderOutcomeUnknown{ID: id}
	case resp.StatusCode() == fasthttp.StatusOK:
		return core.OrderDone{ID: id}
	}
	return refusedOrderResult(id, resp)
}

// refusedOrderResult converts an error response to an order. Only error codes
// that rule out any effect of the order result in OrderFailed.
func refusedOrderResult(id uint64, resp *fasthttp.Response) core.Event {
	var envelope struct{ Error *errs.Error }
	if err := json.Unmarshal(resp.Body(), &envelope); err != nil || envelope.Error == nil {
		return core.OrderOutcomeUnknown{ID: id}
	}
	switch envelope.Error.Code {
	case errs.StaleEpoch, errs.Conflict, errs.InvalidRequest, errs.AdapterLoadFailed:
		return core.OrderFailed{ID: id, Err: envelope.Error}
	default:
		return core.OrderOutcomeUnknown{ID: id}
	}
}

// Cancel ends a request on a target. It returns nil only if the target confirmed
// that the request is no longer running.
func (c *Client) Cancel(ctx context.Context, to model.Target, id model.RequestID) error {
	req := newRequest(fasthttp.MethodDelete, to.Address, "/v1/requests/"+url.PathEscape(string(id)))
	resp, failure := c.roundTrip(ctx, to.Address, req, c.cfg.ControlTimeout, maxControlResponseBytes)
	if failure != nil {
		return failure
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK && status != fasthttp.StatusNotFound {
		return errs.New(errs.TargetRefused, "target did not confirm the cancellation: status "+strconv.Itoa(status))
	}
	return nil
}

// State fetches the state of a runner. The request carries epoch as fencing
// token, so that a runner that checks fencing tokens refuses orders of older
// epochs from then on. The caller sets RequestedAt.
func (c *Client) State(ctx context.Context, to model.Target, epoch model.Epoch) (core.TargetState, error) {
	var body struct {
		Instance string                 `json:"instance"`
		Resident []model.AdapterVersion `json:"resident"`
		Running  []model.RequestID      `json:"running"`
	}
	if err := c.get(ctx, to, "/state", epoch, &body); err != nil {
		return core.TargetState{}, err
	}
	if body.Instance == "" {
		return core.TargetState{}, errs.New(errs.InvalidMessage, "state of the target has no instance")
	}
	return core.TargetState{Target: to.Name, Instance: body.Instance, Resident: body.Resident, Running: body.Running}, nil
}

// LoadReport fetches the load report of a runner, which lags behind its load.
func (c *Client) LoadReport(ctx context.Context, to model.Target) (core.LoadReport, error) {
	var body struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	err := c.get(ctx, to, "/load", 0, &body)
	return core.LoadReport{Target: to.Name, Running: body.Running, Waiting: body.Waiting}, err
}

// CacheEvent reports that the prefix cache of a runner stored or removed a block.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`    // a gap in the sequence means that events were lost
	Stored   bool   `json:"stored"`      // the block was stored; otherwise it was removed
	Hash     uint64 `json:"hash,string"` // hash that identifies the block
}

// CacheEvents fetches the prefix cache events of a runner whose sequence numbers
// are greater than after.
func (c *Client) CacheEvents(ctx context.Context, to model.Target, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, to, "/v1/cache_events?after="+strconv.FormatUint(after, 10), 0, &events)
	return events, err
}

// get sends a GET request and decodes the JSON response into out. It sends epoch
// as fencing token unless it is 0.
func (c *Client) get(ctx context.Context, to model.Target, path string, epoch model.Epoch, out any) error {
	req := newRequest(fasthttp.MethodGet, to.Address, path)
	if epoch > 0 {
		req.Header.Set(headerFencingToken, strconv.FormatUint(uint64(epoch), 10))
	}
	resp, failure := c.roundTrip(ctx, to.Address, req, c.cfg.ControlTimeout, maxQueryResponseBytes)
	if failure != nil {
		return failure.WithRan(errs.RanUnset)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errs.New(errs.TargetRefused, "target answered with status "+strconv.Itoa(resp.StatusCode()))
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return errs.Wrap(err, errs.InvalidMessage, "response of the target is not valid JSON")
	}
	return nil
}

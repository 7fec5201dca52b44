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

// Order sends a load or evict order with its fencing token and returns what is
// known of its effect as an event of the core:
//   - OrderDone: the target confirmed the order;
//   - OrderFailed: the order certainly has no effect, now or later, because no
//     byte of it was sent or the target refused it or said that the load ended
//     without effect;
//   - OrderUnknown: anything else, for example a lost response.
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
	resp, failure := c.exchange(ctx, to.Address, req, c.cfg.OrderTimeout, maxRefusalBytes)
	return orderResult(intent.ID, resp, failure)
}

func orderResult(id uint64, resp *fasthttp.Response, failure *errs.Error) core.Event {
	switch {
	case failure != nil && failure.Ran == errs.RanNo:
		return core.OrderFailed{ID: id, Err: failure}
	case failure != nil:
		return core.OrderUnknown{ID: id}
	case resp.StatusCode() == fasthttp.StatusOK:
		return core.OrderDone{ID: id}
	}
	return refusedOrder(id, resp)
}

// refusedOrder accepts only the typed refusals that exclude an effect.
func refusedOrder(id uint64, resp *fasthttp.Response) core.Event {
	var wrapper struct{ Error *errs.Error }
	if err := json.Unmarshal(resp.Body(), &wrapper); err != nil || wrapper.Error == nil {
		return core.OrderUnknown{ID: id}
	}
	switch wrapper.Error.Code {
	case errs.StaleEpoch, errs.Conflict, errs.InvalidRequest, errs.AdapterLoadFailed:
		return core.OrderFailed{ID: id, Err: wrapper.Error}
	default:
		return core.OrderUnknown{ID: id}
	}
}

// Cancel ends a request on a target. Nil means that the target confirmed that
// the request does not run any more.
func (c *Client) Cancel(ctx context.Context, to model.Target, id model.RequestID) error {
	req := newRequest(fasthttp.MethodDelete, to.Address, "/v1/requests/"+url.PathEscape(string(id)))
	resp, failure := c.exchange(ctx, to.Address, req, c.cfg.ControlTimeout, maxRefusalBytes)
	if failure != nil {
		return failure
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK && status != fasthttp.StatusNotFound {
		return errs.New(errs.TargetRefused, "target did not confirm the cancellation: status "+strconv.Itoa(status))
	}
	return nil
}

// State asks a runner for its statement about itself. The question carries the
// fencing token, so that a runner that checks it refuses older orders from then
// on. The caller sets RequestedAt.
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
		return core.TargetState{}, errs.New(errs.InvalidMessage, "state names no instance")
	}
	return core.TargetState{Target: to.Name, Instance: body.Instance, Resident: body.Resident, Running: body.Running}, nil
}

// LoadReport asks a runner for its lagging load report.
func (c *Client) LoadReport(ctx context.Context, to model.Target) (core.LoadReport, error) {
	var body struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	err := c.get(ctx, to, "/load", 0, &body)
	return core.LoadReport{Target: to.Name, Running: body.Running, Waiting: body.Waiting}, err
}

// CacheEvent says that a runner's prefix cache stored or removed a block.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // gaps mean lost events
	Stored   bool   `json:"stored"`
	Hash     uint64 `json:"hash,string"`
}

// CacheEvents asks a runner for its prefix cache events after a sequence.
func (c *Client) CacheEvents(ctx context.Context, to model.Target, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, to, "/v1/cache_events?after="+strconv.FormatUint(after, 10), 0, &events)
	return events, err
}

// get asks a question. An epoch of 0 sends no fencing token.
func (c *Client) get(ctx context.Context, to model.Target, path string, epoch model.Epoch, out any) error {
	request := newRequest(fasthttp.MethodGet, to.Address, path)
	if epoch > 0 {
		request.Header.Set(headerFencingToken, strconv.FormatUint(uint64(epoch), 10))
	}
	resp, failure := c.exchange(ctx, to.Address, request, c.cfg.ControlTimeout, maxStateBytes)
	if failure != nil {
		return failure.WithRan(errs.RanUnset)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errs.New(errs.TargetRefused, "target answered with status "+strconv.Itoa(resp.StatusCode()))
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return errs.Wrap(err, errs.InvalidMessage, "target's statement is not valid")
	}
	return nil
}

package platform

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/memstore"
)

// maxLag bounds the lag of the list.
const maxLag = time.Hour

// done is the result of a control call that has no other.
type done struct {
	Done bool `json:"done"`
}

func (s *Server) control(ctx *fasthttp.RequestCtx, call string) (any, error) {
	switch call {
	case "PUT /control/list":
		var listing model.Listing
		return decoded(ctx, &listing, func() { s.List.Set(listing) })
	case "PUT /control/rates":
		var rates memstore.Rates
		return decoded(ctx, &rates, func() { s.Store.SetRates(rates) })
	case "POST /control/faults":
		var rules []memstore.Rule
		return decoded(ctx, &rules, func() { s.Store.Inject(rules...) })
	case "DELETE /control/faults":
		s.Store.ClearFaults()
		return done{true}, nil
	case "PUT /control/outage":
		s.Store.SetOutage(ctx.QueryArgs().GetBool("on"))
		return done{true}, nil
	case "PUT /control/lag":
		return s.setLag(ctx)
	case "POST /control/apply-delayed":
		number := numbers{args: ctx.QueryArgs()}
		n := number.get("n")
		if number.err != nil {
			return nil, number.err
		}
		return map[string]int{"applied": s.Store.ApplyDelayed(int(n))}, nil
	case "GET /control/counts":
		return s.Store.Counts(), nil
	}
	return nil, errs.New(errs.NotFound, "no such control call")
}

func (s *Server) setLag(ctx *fasthttp.RequestCtx) (any, error) {
	number := numbers{args: ctx.QueryArgs()}
	lag := number.get("ms")
	if number.err != nil {
		return nil, number.err
	}
	s.List.SetLag(time.Duration(min(lag, maxLag.Milliseconds())) * time.Millisecond)
	return done{true}, nil
}

func decoded(ctx *fasthttp.RequestCtx, into any, then func()) (any, error) {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return nil, errs.Wrap(err, errs.InvalidRequest, "the body cannot be decoded")
	}
	then()
	return done{true}, nil
}

// numbers reads non-negative query parameters; an absent one is 0. The first
// fault stays in err.
type numbers struct {
	args *fasthttp.Args
	err  error
}

func (n *numbers) get(name string) int64 {
	text := n.args.Peek(name)
	if len(text) == 0 {
		return 0
	}
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err == nil && value < 0 {
		err = strconv.ErrRange
	}
	if err != nil && n.err == nil {
		n.err = errs.Wrap(err, errs.InvalidRequest, name+" must be a whole number of 0 or more")
	}
	return value
}

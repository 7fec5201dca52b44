package runner

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Transit counts the loads in transit from the weights store.
type Transit interface {
	Start()
	End()
	InTransit() int
}

// LocalTransit counts the loads of the runners of one process.
type LocalTransit struct{ n atomic.Int64 }

// Start enters a load.
func (t *LocalTransit) Start() { t.n.Add(1) }

// End removes a load.
func (t *LocalTransit) End() { t.n.Add(-1) }

// InTransit returns the number of loads.
func (t *LocalTransit) InTransit() int { return int(t.n.Load()) }

// RemoteTransit counts the loads of several processes at one of them, which
// serves /weights/start, /weights/end and /weights/count.
type RemoteTransit struct{ Address string }

const remoteTransitTimeout = time.Second

// Start enters a load.
func (t *RemoteTransit) Start() { t.call("start") }

// End removes a load.
func (t *RemoteTransit) End() { t.call("end") }

// InTransit returns the number of loads, or 1 if the count is not reachable.
func (t *RemoteTransit) InTransit() int { return max(1, t.call("count")) }

func (t *RemoteTransit) call(op string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + "/weights/" + op)
	req.Header.SetMethod(fasthttp.MethodPost)
	if err := fasthttp.DoTimeout(req, resp, remoteTransitTimeout); err != nil {
		return 0
	}
	n, err := fasthttp.ParseUint(resp.Body())
	if err != nil {
		return 0
	}
	return n
}

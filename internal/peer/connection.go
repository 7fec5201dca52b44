package peer

import (
	"context"
	"errors"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
)

// connection is one connection to a peer, and the attempt to make it.
type connection struct {
	addr     string
	client   *Client
	ready    chan struct{} // closed when dialErr or rpc and stream are set
	stop     chan struct{} // closed when the connection must end
	once     sync.Once
	dialErr  *errs.Error
	rpc      *rpc.Client
	stream   *stream
	replaced atomic.Bool  // no new calls
	pending  atomic.Int64 // raised under the client's lock
	calls    atomic.Uint64
}

func newConnection(addr string, client *Client) *connection {
	return &connection{addr: addr, client: client, ready: make(chan struct{}), stop: make(chan struct{})}
}

// close ends the connection. Calls that wait fail.
func (c *connection) close() {
	c.once.Do(func() { close(c.stop) })
}

// broken reports whether the connection is known not to work any more.
func (c *connection) broken() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// awaitReady waits until the connection is made.
func (c *connection) awaitReady(ctx context.Context) error {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return contextError(ctx, "connect to "+c.addr, errs.RanNo)
	}
	if c.dialErr != nil {
		return c.dialErr
	}
	return nil
}

// run makes the connection, watches it, and removes it from the client.
func (c *connection) run() {
	c.dialErr = c.dial()
	close(c.ready)
	if c.dialErr == nil {
		c.watch()
		_ = c.rpc.Close()
	}
	c.close()
	c.client.finish(c)
}

func (c *connection) dial() *errs.Error {
	ctx, cancel := context.WithTimeout(context.Background(), c.client.settings.DialTimeout)
	defer cancel()
	conn, err := c.client.dial(ctx, c.addr)
	if errs.Is(err, errs.Unauthenticated) {
		return errs.Wrap(err, errs.Unauthenticated, "connect to the peer at "+c.addr).WithRan(errs.RanNo)
	}
	if err != nil {
		return errs.Wrap(err, errs.PeerUnavailable, "connect to the peer at "+c.addr).WithRan(errs.RanNo)
	}
	c.stream = newStream(conn, c.client.clock)
	c.rpc = rpc.NewClientWithCodec(clientCodec{stream: c.stream, ended: c.close})
	return nil
}

// call makes one call on an established connection. The call stays pending until
// the peer answers or the connection ends, also when its context ends earlier.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	c.calls.Add(1)
	before := c.stream.received.Load()
	done := make(chan *rpc.Call, 1)
	// Sending blocks while the peer does not read, so that it needs a goroutine
	// to honour the context. writeTimeout ends it.
	go func() {
		call := <-c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
		c.pending.Add(-1)
		done <- call
	}()
	select {
	case call := <-done:
		return c.callError(method, call.Error)
	case <-ctx.Done():
		if c.stream.received.Load() == before {
			// Nothing arrived since the call was sent: the connection may be
			// silent for ever, so later calls use a new one. The probe decides
			// about the calls that still wait on this one.
			c.client.replace(c)
		}
		return contextError(ctx, method+" at "+c.addr, errs.RanUnknown)
	}
}

// callError types the error of a call that net/rpc has finished.
func (c *connection) callError(method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return serverError(string(remote))
	}
	c.client.replace(c)
	c.close()
	var unsent unsentError
	if errors.As(err, &unsent) {
		return errs.Wrap(err, unsent.cause.Code, method+" at "+c.addr).WithRan(errs.RanNo)
	}
	return errs.Wrap(err, errs.PeerUnavailable, method+" at "+c.addr).WithRan(errs.RanUnknown)
}

// serverError parses the text of an *errs.Error, which is all that net/rpc
// transports of the error of a method.
func serverError(text string) *errs.Error {
	if strings.HasPrefix(text, "rpc: can't find") || strings.HasPrefix(text, "rpc: service/method request ill-formed") {
		return errs.NotRun(errs.InvalidRequest, text)
	}
	ran := errs.RanYes
	if rest, found := strings.CutPrefix(text, notRunPrefix); found {
		text, ran = rest, errs.RanNo
	}
	code, message, found := strings.Cut(text, ": ")
	if !found || strings.ContainsAny(code, " /") {
		code, message = string(errs.Internal), text
	}
	return errs.New(errs.Code(code), message).WithRan(ran)
}

// watch probes the connection until it fails, is stopped or has been idle for
// too long.
func (c *connection) watch() {
	settings := c.client.settings
	ticker := time.NewTicker(min(settings.BusyProbe, settings.IdleProbe))
	defer ticker.Stop()
	state := watchState{heardAt: time.Now(), calledAt: time.Now()}
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			if c.idle(&state, now) {
				return
			}
			if c.probeDue(&state, now) && !c.probe() {
				return
			}
		}
	}
}

// watchState is what one watch has seen.
type watchState struct {
	received uint64
	heardAt  time.Time
	calls    uint64
	calledAt time.Time
}

// idle reports whether the connection was replaced or unused for the idle limit,
// and no call waits on it.
func (c *connection) idle(state *watchState, now time.Time) bool {
	if calls := c.calls.Load(); calls != state.calls || c.pending.Load() > 0 {
		state.calls, state.calledAt = calls, now
	}
	unused := now.Sub(state.calledAt) >= c.client.settings.IdleClose
	return (unused || c.replaced.Load()) && c.client.retire(c)
}

// probeDue reports whether nothing was received for the probe interval.
func (c *connection) probeDue(state *watchState, now time.Time) bool {
	if received := c.stream.received.Load(); received != state.received {
		state.received, state.heardAt = received, now
	}
	interval := c.client.settings.IdleProbe
	if c.pending.Load() > 0 {
		interval = c.client.settings.BusyProbe
	}
	return now.Sub(state.heardAt) >= interval
}

// probe reports whether the peer answers on this connection. Any answer counts,
// an error too.
func (c *connection) probe() bool {
	before := c.stream.received.Load()
	done := make(chan *rpc.Call, 1)
	go func() { done <- <-c.rpc.Go(probeMethod, struct{}{}, &struct{}{}, make(chan *rpc.Call, 1)).Done }()
	timer := time.NewTimer(c.client.settings.ProbeTimeout)
	defer timer.Stop()
	select {
	case call := <-done:
		var remote rpc.ServerError
		return call.Error == nil || errors.As(call.Error, &remote)
	case <-timer.C:
		return c.stream.received.Load() != before
	case <-c.stop:
		return false
	}
}

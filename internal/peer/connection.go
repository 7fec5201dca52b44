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

// connection is one connection to a peer, including the attempt to open it.
type connection struct {
	addr         string
	client       *Client
	ready        chan struct{} // closed when the attempt has ended: either dialErr or both rpc and stream are set
	closing      chan struct{} // closed when the connection must be closed
	closeOnce    sync.Once
	dialErr      *errs.Error
	rpc          *rpc.Client
	stream       *stream
	detached     atomic.Bool   // new calls use another connection
	pendingCalls atomic.Int64  // calls without a result; increased only under Client.mu
	callCount    atomic.Uint64 // calls started on the connection
}

func newConnection(addr string, client *Client) *connection {
	return &connection{addr: addr, client: client, ready: make(chan struct{}), closing: make(chan struct{})}
}

// close makes the connection end. Its pending calls fail.
func (c *connection) close() {
	c.closeOnce.Do(func() { close(c.closing) })
}

// isClosing reports whether the connection is closing or closed.
func (c *connection) isClosing() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

// awaitReady waits until the connection is open and returns the error if it
// cannot be opened or ctx ends first.
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

// run opens the connection, monitors it until it ends, and removes it from the
// client.
func (c *connection) run() {
	c.dialErr = c.dial()
	close(c.ready)
	if c.dialErr == nil {
		c.monitor()
		_ = c.rpc.Close()
	}
	c.close()
	c.client.remove(c)
}

// dial opens the connection and sets stream and rpc.
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
	c.rpc = rpc.NewClientWithCodec(clientCodec{stream: c.stream, onReadError: c.close})
	return nil
}

// call makes one call on an open connection. The call stays pending until the
// peer answers or the connection ends, even if its context ends earlier.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	c.callCount.Add(1)
	receivedBefore := c.stream.receivedCount.Load()
	done := make(chan *rpc.Call, 1)
	// rpc.Client.Go blocks while the peer does not read. It runs in a goroutine of
	// its own, so that call returns when the context ends; writeTimeout ends the
	// blocked write.
	go func() {
		call := <-c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
		c.pendingCalls.Add(-1)
		done <- call
	}()
	select {
	case call := <-done:
		return c.handleCallError(method, call.Error)
	case <-ctx.Done():
		if c.stream.receivedCount.Load() == receivedBefore {
			// Nothing was received since the call started, so the connection may
			// have stopped delivering data. Later calls use a new connection. If
			// the next probe fails, the calls that are pending here fail as well.
			c.client.detach(c)
		}
		return contextError(ctx, method+" at "+c.addr, errs.RanUnknown)
	}
}

// handleCallError converts the error of a call that net/rpc has finished to an
// *errs.Error. It closes the connection unless the error came from the peer.
func (c *connection) handleCallError(method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return parseServerError(string(remote))
	}
	c.client.detach(c)
	c.close()
	var unsent unsentError
	if errors.As(err, &unsent) {
		return errs.Wrap(err, unsent.cause.Code, method+" at "+c.addr).WithRan(errs.RanNo)
	}
	return errs.Wrap(err, errs.PeerUnavailable, method+" at "+c.addr).WithRan(errs.RanUnknown)
}

// parseServerError restores an *errs.Error from its text, because net/rpc sends
// only the text of an error to the client.
func parseServerError(text string) *errs.Error {
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

// monitor probes the connection and returns when a probe fails, the connection is
// closing, or it is detached, so that new calls use another connection, and has no
// pending calls.
func (c *connection) monitor() {
	settings := c.client.settings
	ticker := time.NewTicker(min(settings.BusyProbeInterval, settings.IdleProbeInterval))
	defer ticker.Stop()
	seen := activity{receivedAt: time.Now(), lastCallAt: time.Now()}
	for {
		select {
		case <-c.closing:
			return
		case now := <-ticker.C:
			if c.detachIfIdle(&seen, now) {
				return
			}
			if c.probeDue(&seen, now) && !c.probe() {
				return
			}
		}
	}
}

// activity is the activity on a connection that monitor has seen.
type activity struct {
	receivedCount uint64    // value of stream.receivedCount at the last check
	receivedAt    time.Time // check that last found a new message
	callCount     uint64    // value of connection.callCount at the last check
	lastCallAt    time.Time // check that last found a new or pending call
}

// detachIfIdle detaches the connection if it had no call for the idle timeout. It
// reports whether the connection is detached and has no pending calls, so that it
// can be closed.
func (c *connection) detachIfIdle(seen *activity, now time.Time) bool {
	if calls := c.callCount.Load(); calls != seen.callCount || c.pendingCalls.Load() > 0 {
		seen.callCount, seen.lastCallAt = calls, now
	}
	timedOut := now.Sub(seen.lastCallAt) >= c.client.settings.IdleTimeout
	return (timedOut || c.detached.Load()) && c.client.detachIfUnused(c)
}

// probeDue reports whether no message was received for the probe interval.
func (c *connection) probeDue(seen *activity, now time.Time) bool {
	if received := c.stream.receivedCount.Load(); received != seen.receivedCount {
		seen.receivedCount, seen.receivedAt = received, now
	}
	interval := c.client.settings.IdleProbeInterval
	if c.pendingCalls.Load() > 0 {
		interval = c.client.settings.BusyProbeInterval
	}
	return now.Sub(seen.receivedAt) >= interval
}

// probe sends a probe and reports whether the peer is alive on this connection.
// An error that the peer returns counts as an answer, and so does any other
// message that arrives within the probe timeout.
func (c *connection) probe() bool {
	receivedBefore := c.stream.receivedCount.Load()
	done := make(chan *rpc.Call, 1)
	go func() { done <- <-c.rpc.Go(probeMethod, struct{}{}, &struct{}{}, make(chan *rpc.Call, 1)).Done }()
	timer := time.NewTimer(c.client.settings.ProbeTimeout)
	defer timer.Stop()
	select {
	case call := <-done:
		var remote rpc.ServerError
		return call.Error == nil || errors.As(call.Error, &remote)
	case <-timer.C:
		return c.stream.receivedCount.Load() != receivedBefore
	case <-c.closing:
		return false
	}
}

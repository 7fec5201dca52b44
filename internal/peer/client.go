package peer

import (
	"context"
	"crypto/tls"
	"net"
	"reflect"
	"sync"
	"time"

	"cicadaslip/internal/errs"
)

// ClientSettings are the time limits and the call limit of a Client. Fields that
// are zero or negative take the default.
type ClientSettings struct {
	DialTimeout        time.Duration // limit for connecting, including the TLS handshake; default 2 s
	CallTimeout        time.Duration // limit for a call whose context has no deadline; default 10 s
	BusyProbeInterval  time.Duration // silence before a probe while calls are pending; default 1 s
	IdleProbeInterval  time.Duration // silence before a probe while no call is pending; default 5 s
	ProbeTimeout       time.Duration // limit for the answer to a probe; default 1 s
	IdleTimeout        time.Duration // time without calls after which a connection is closed; default 30 s
	MaxConcurrentCalls int           // pending calls per connection; default half of MaxCallsPerConnection
}

func (s ClientSettings) withDefaults() ClientSettings {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.DialTimeout, 2 * time.Second},
		{&s.CallTimeout, 10 * time.Second},
		{&s.BusyProbeInterval, time.Second},
		{&s.IdleProbeInterval, 5 * time.Second},
		{&s.ProbeTimeout, time.Second},
		{&s.IdleTimeout, 30 * time.Second},
	}
	for _, d := range defaults {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if s.MaxConcurrentCalls <= 0 {
		s.MaxConcurrentCalls = MaxCallsPerConnection / 2
	}
	return s
}

// Client makes calls to peers. New calls to an address share one connection. A
// Client is safe for concurrent use.
type Client struct {
	credentials    *Credentials
	clock          Clock
	settings       ClientSettings
	mu             sync.Mutex
	currentByAddr  map[string]*connection   // connection for new calls to an address
	allConnections map[*connection]struct{} // every connection that has not ended, including detached ones
	closed         bool
}

// dial opens a connection to addr. The connection is authenticated if the client
// has credentials.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if c.credentials == nil {
		return (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext(ctx, "tcp", addr)
	}
	dialer := tls.Dialer{Config: c.credentials.tlsConfig()}
	return dialer.DialContext(ctx, "tcp", addr)
}

// keepAlive detects a network partition within 3 s on a connection without TLS.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NewClient returns a client, which the caller must close after use. If
// credentials is nil, the client uses plain TCP, which is only safe on a network
// that no process outside the system can reach.
func NewClient(credentials *Credentials, clock Clock, settings ClientSettings) *Client {
	return &Client{
		credentials: credentials, clock: clock, settings: settings.withDefaults(),
		currentByAddr: map[string]*connection{}, allConnections: map[*connection]struct{}{},
	}
}

// Call calls method, in the form "Service.Method", on the peer at addr, in the
// form "ip:port", and stores the reply in the value that reply points to. The
// caller must not change args after Call has returned, because an abandoned call
// may still be sending them. If Call fails, reply is unchanged.
//
// The Ran field of the error tells whether the method ran on the peer:
//   - errs.PeerUnavailable: the call was not sent (RanNo), or the connection
//     failed or stopped delivering data during the call (RanUnknown);
//   - errs.Timeout, errs.Cancelled: the context ended while the call was
//     waiting for the connection (RanNo) or for the reply (RanUnknown);
//   - errs.Overloaded: the limit of concurrent calls is reached (RanNo);
//   - errs.TooLarge: the encoded args exceed MaxMessageBytes (RanNo); the
//     connection is replaced, so other calls on it fail with
//     errs.PeerUnavailable;
//   - errs.InvalidMessage: the peer could not decode args (RanNo);
//   - errs.Unauthenticated: the peer has a different key (RanNo);
//   - any other code: the peer's method returned this error (RanYes).
//
// A peer cannot send a reply that exceeds MaxMessageBytes. It closes the
// connection instead, and the call fails with errs.PeerUnavailable.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.CallTimeout)
		defer cancel()
	}
	conn, err := c.acquire(addr)
	if err != nil {
		return err
	}
	if err := conn.awaitReady(ctx); err != nil {
		conn.pendingCalls.Add(-1)
		return err
	}
	// The peer may still answer an abandoned call, and net/rpc would then write to
	// reply after Call has returned. The call therefore decodes into a copy.
	replyCopy := reflect.New(reflect.TypeOf(reply).Elem())
	if err := conn.call(ctx, method, args, replyCopy.Interface()); err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(replyCopy.Elem())
	return nil
}

// acquire returns the connection for new calls to addr and adds one to its
// pending calls. If there is no such connection, acquire starts to open one.
func (c *Client) acquire(addr string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errs.NotRun(errs.PeerUnavailable, "the peer client is closed")
	}
	conn := c.currentByAddr[addr]
	if conn == nil || conn.isClosing() {
		conn = newConnection(addr, c)
		c.currentByAddr[addr], c.allConnections[conn] = conn, struct{}{}
		go conn.run()
	}
	if conn.pendingCalls.Load() >= int64(c.settings.MaxConcurrentCalls) {
		return nil, errs.NotRun(errs.Overloaded, "too many concurrent calls to the peer at "+addr)
	}
	conn.pendingCalls.Add(1)
	return conn, nil
}

// detach makes later calls to the connection's address use a new connection.
// Calls that are pending on conn stay on it.
func (c *Client) detach(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detachLocked(conn)
}

// detachIfUnused detaches conn if no call is pending on it, and reports whether
// it did so.
func (c *Client) detachIfUnused(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.pendingCalls.Load() > 0 {
		return false
	}
	c.detachLocked(conn)
	return true
}

// remove detaches a connection that has ended and drops the client's last
// reference to it.
func (c *Client) remove(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detachLocked(conn)
	delete(c.allConnections, conn)
}

func (c *Client) detachLocked(conn *connection) {
	conn.detached.Store(true)
	if c.currentByAddr[conn.addr] == conn {
		delete(c.currentByAddr, conn.addr)
	}
}

// Close closes all connections. Pending calls fail with errs.PeerUnavailable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.allConnections {
		conn.close()
	}
}

// contextError returns an error for a call whose context has ended: errs.Cancelled
// if it was cancelled, errs.Timeout otherwise.
func contextError(ctx context.Context, message string, ran errs.Ran) *errs.Error {
	code := errs.Timeout
	if context.Cause(ctx) == context.Canceled {
		code = errs.Cancelled
	}
	return errs.Wrap(ctx.Err(), code, message).WithRan(ran)
}

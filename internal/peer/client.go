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

// ClientSettings are the times of a client. Zero fields take the defaults.
type ClientSettings struct {
	DialTimeout   time.Duration // connect and handshake, default 2 s
	CallTimeout   time.Duration // of a call whose context has no deadline, default 10 s
	BusyProbe     time.Duration // between probes while calls wait, default 1 s
	IdleProbe     time.Duration // between probes of an idle connection, default 5 s
	ProbeTimeout  time.Duration // answer to a probe, default 1 s
	IdleClose     time.Duration // close after this time without calls, default 30 s
	MaxConcurrent int           // calls per connection, default half of MaxCallsPerConnection
}

func (s ClientSettings) withDefaults() ClientSettings {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.DialTimeout, 2 * time.Second},
		{&s.CallTimeout, 10 * time.Second},
		{&s.BusyProbe, time.Second},
		{&s.IdleProbe, 5 * time.Second},
		{&s.ProbeTimeout, time.Second},
		{&s.IdleClose, 30 * time.Second},
	}
	for _, d := range defaults {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if s.MaxConcurrent <= 0 {
		s.MaxConcurrent = MaxCallsPerConnection / 2
	}
	return s
}

// Client makes calls to peers over one connection per address. It is safe for
// concurrent use.
type Client struct {
	credentials *Credentials
	clock       Clock
	settings    ClientSettings
	mu          sync.Mutex
	connections map[string]*connection   // for new calls
	all         map[*connection]struct{} // also those that are being replaced
	closed      bool
}

// dial opens a connection, which is authenticated if there are credentials.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if c.credentials == nil {
		return (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext(ctx, "tcp", addr)
	}
	dialer := tls.Dialer{Config: c.credentials.config()}
	return dialer.DialContext(ctx, "tcp", addr)
}

// keepAlive shows a partition on a connection without TLS within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NewClient returns a client. Close it after use. Without credentials it speaks
// plain TCP, for networks that only the system's own processes reach.
func NewClient(credentials *Credentials, clock Clock, settings ClientSettings) *Client {
	return &Client{
		credentials: credentials, clock: clock, settings: settings.withDefaults(),
		connections: map[string]*connection{}, all: map[*connection]struct{}{},
	}
}

// Call calls "Service.Method" of the peer at an "ip:port" address and stores
// the reply in the value that reply points to. args must not be changed after
// Call has returned, because an abandoned call may still be sending them. When
// Call fails, reply is unchanged.
//
// Errors, with Ran saying whether the call ran on the peer:
//   - errs.PeerUnavailable: the call was not sent (RanNo), or the connection
//     broke or went silent during the call (RanUnknown);
//   - errs.Timeout, errs.Cancelled: the context ended while the call was
//     waiting for the connection (RanNo) or for the reply (RanUnknown);
//   - errs.Overloaded: the bound of concurrent calls is reached (RanNo);
//   - errs.TooLarge: args are over MaxMessageBytes (RanNo); the connection is
//     replaced, so that other calls on it fail with errs.PeerUnavailable;
//   - errs.InvalidMessage: the peer could not decode args (RanNo);
//   - errs.Unauthenticated: the peer holds another key (RanNo);
//   - any other code: the peer's method returned this error (RanYes). A reply over
//     MaxMessageBytes cannot be sent: it breaks the connection.
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
		conn.pending.Add(-1)
		return err
	}
	// An abandoned call may still be answered; it must not write to reply then.
	private := reflect.New(reflect.TypeOf(reply).Elem())
	if err := conn.call(ctx, method, args, private.Interface()); err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(private.Elem())
	return nil
}

// acquire returns the connection of an address with one more pending call, or
// starts to make one.
func (c *Client) acquire(addr string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errs.NotRun(errs.PeerUnavailable, "the peer client is closed")
	}
	conn := c.connections[addr]
	if conn == nil || conn.broken() {
		conn = newConnection(addr, c)
		c.connections[addr], c.all[conn] = conn, struct{}{}
		go conn.run()
	}
	if conn.pending.Load() >= int64(c.settings.MaxConcurrent) {
		return nil, errs.NotRun(errs.Overloaded, "too many concurrent calls to the peer at "+addr)
	}
	conn.pending.Add(1)
	return conn, nil
}

// replace makes later calls use a new connection.
func (c *Client) replace(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(conn)
}

// retire removes a connection that no call uses. It reports whether it did.
func (c *Client) retire(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.pending.Load() > 0 {
		return false
	}
	c.removeLocked(conn)
	return true
}

// finish removes a connection that has ended.
func (c *Client) finish(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(conn)
	delete(c.all, conn)
}

func (c *Client) removeLocked(conn *connection) {
	conn.replaced.Store(true)
	if c.connections[conn.addr] == conn {
		delete(c.connections, conn.addr)
	}
}

// Close closes all connections. Calls that wait fail with errs.PeerUnavailable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.all {
		conn.close()
	}
}

func contextError(ctx context.Context, message string, ran errs.Ran) *errs.Error {
	code := errs.Timeout
	if context.Cause(ctx) == context.Canceled {
		code = errs.Cancelled
	}
	return errs.Wrap(ctx.Err(), code, message).WithRan(ran)
}

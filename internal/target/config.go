package target

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	DefaultDialTimeout         = 500 * time.Millisecond
	DefaultWriteTimeout        = 2 * time.Second
	DefaultHeaderTimeout       = time.Second
	DefaultFirstTokenTimeout   = 2 * time.Second
	DefaultMinIdleTimeout      = 250 * time.Millisecond
	DefaultIdleTimeoutFactor   = 10
	DefaultMaxResumes          = 2
	DefaultResumeDelay         = 20 * time.Millisecond
	DefaultOrderTimeout        = 10 * time.Second
	DefaultControlTimeout      = 2 * time.Second
	DefaultMaxDiscardedChunks  = 16
	DefaultMaxAnswerBytes      = 4 << 20
	maxChunkBytes              = 64 << 10 // limit of one line of a stream
	tokenGapSmoothing          = 0.2      // weight of the newest gap in the moving average of token gaps
	maxBackoffDoublings        = 5        // limit of the doublings of the idle timeout and the resume delay
	maxControlResponseBytes    = 64 << 10 // limit of a response to an order or a cancellation and of a refusal
	maxQueryResponseBytes      = 4 << 20  // limit of a state, a load report or a list of cache events
	headerRequestID            = "X-Request-Id"
	headerFencingToken         = "X-Fencing-Token"
	headerIdempotencyKey       = "Idempotency-Key"
	headerOrganisation         = "X-Organisation"
	contentTypeJSON            = "application/json"
	userAgent                  = "cicadaslip"
	networkTCP                 = "tcp"
	expiredDeadlineUnixSeconds = 1 // a deadline in the past, which ends pending reads and writes at once
	keepAliveDisabled          = -1
	readBufferBytes            = 16 << 10
)

// DialFunc opens a network connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the limits of a client. Zero values are replaced by the defaults.
type Config struct {
	DialTimeout        time.Duration // limit for establishing a connection
	WriteTimeout       time.Duration // limit for writing one request
	HeaderTimeout      time.Duration // limit from the end of the request to the response header of a stream
	FirstTokenTimeout  time.Duration // idle timeout of a stream before its first token
	MinIdleTimeout     time.Duration // least idle timeout of a stream after its first token
	IdleTimeoutFactor  float64       // idle timeout as a multiple of the mean token gap
	MaxResumes         int           // resumptions of one stream in a row without a new token
	ResumeDelay        time.Duration // base of the delay before a resumption, which doubles with each connection without a new token
	OrderTimeout       time.Duration // limit for the response to a load or evict order
	ControlTimeout     time.Duration // limit for the response to a cancellation or to a query of state, load or cache events
	MaxDiscardedChunks int           // chunks of one stream that may name another request, adapter or version
	MaxAnswerBytes     int           // limit of one answer
	Dial               DialFunc      // function that opens connections; nil uses net.Dialer
}

func (c Config) withDefaults() Config {
	setDefaultDuration(&c.DialTimeout, DefaultDialTimeout)
	setDefaultDuration(&c.WriteTimeout, DefaultWriteTimeout)
	setDefaultDuration(&c.HeaderTimeout, DefaultHeaderTimeout)
	setDefaultDuration(&c.FirstTokenTimeout, DefaultFirstTokenTimeout)
	setDefaultDuration(&c.MinIdleTimeout, DefaultMinIdleTimeout)
	setDefaultDuration(&c.ResumeDelay, DefaultResumeDelay)
	setDefaultDuration(&c.OrderTimeout, DefaultOrderTimeout)
	setDefaultDuration(&c.ControlTimeout, DefaultControlTimeout)
	setDefaultInt(&c.MaxResumes, DefaultMaxResumes)
	setDefaultInt(&c.MaxDiscardedChunks, DefaultMaxDiscardedChunks)
	setDefaultInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	if c.IdleTimeoutFactor == 0 {
		c.IdleTimeoutFactor = DefaultIdleTimeoutFactor
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: keepAliveDisabled}).DialContext
	}
	return c
}

func setDefaultInt(field *int, defaultValue int) {
	if *field == 0 {
		*field = defaultValue
	}
}

func setDefaultDuration(field *time.Duration, defaultValue time.Duration) {
	if *field == 0 {
		*field = defaultValue
	}
}

// Stats holds the counters of a client. They never decrease.
type Stats struct {
	Dispatched      atomic.Uint64 // requests of which at least one byte was written
	Discarded       atomic.Uint64 // answers and chunks discarded because they named another request, adapter or version
	DuplicateChunks atomic.Uint64 // chunks discarded because they had been received before
	ReadTimeouts    atomic.Uint64 // stream connections whose read timed out, or that were aborted with their context
	BrokenStreams   atomic.Uint64 // stream connections that ended otherwise before the final chunk
	Resumptions     atomic.Uint64 // resumptions that the target accepted
}

// Client sends requests, calls, orders and queries to targets. It is safe for
// concurrent use.
type Client struct {
	cfg   Config
	stats Stats
}

// New returns a client with the given limits.
func New(cfg Config) *Client { return &Client{cfg: cfg.withDefaults()} }

// Stats returns the counters of the client. They change while it is in use.
func (c *Client) Stats() *Stats { return &c.stats }

package target

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultWriteTimeout     = 2 * time.Second
	DefaultHeaderTimeout    = time.Second
	DefaultFirstTokenWait   = 2 * time.Second
	DefaultMinSilence       = 250 * time.Millisecond
	DefaultSilenceFactor    = 10
	DefaultMaxResumes       = 2
	DefaultResumeDelay      = 20 * time.Millisecond
	DefaultOrderTimeout     = 10 * time.Second
	DefaultControlTimeout   = 2 * time.Second
	DefaultMaxDiscards      = 16
	DefaultMaxAnswerBytes   = 4 << 20
	maxChunkBytes           = 64 << 10 // one line of a stream
	smoothing               = 0.2      // weight of the newest gap in the mean
	maxDoublings            = 5        // of the allowed silence and the delay between resumptions
	maxRefusalBytes         = 64 << 10 // body of a refusal that is read
	maxStateBytes           = 4 << 20  // body of a state or a cache event list
	headerRequestID         = "X-Request-Id"
	headerFencingToken      = "X-Fencing-Token"
	headerIdempotencyKey    = "Idempotency-Key"
	headerOrganisation      = "X-Organisation"
	contentTypeJSON         = "application/json"
	userAgent               = "cicadaslip"
	networkTCP              = "tcp"
	lingerNone              = 0
	longPast                = 1 // seconds since 1970; a deadline that has passed
	keepAliveOff            = -1
	responseHeaderReadBytes = 16 << 10
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the limits of a client. Zero values take defaults.
type Config struct {
	DialTimeout    time.Duration // to establish a connection
	WriteTimeout   time.Duration // to write one request
	HeaderTimeout  time.Duration // from the request to the header of a stream
	FirstTokenWait time.Duration // silence allowed before the first token
	MinSilence     time.Duration // least silence after which a stream is resumed
	SilenceFactor  float64       // allowed silence in mean token gaps
	MaxResumes     int           // resumptions of one stream in a row without a new token
	ResumeDelay    time.Duration // before a resumption
	OrderTimeout   time.Duration // for a load or evict order
	ControlTimeout time.Duration // for state, load report and cancel
	MaxDiscards    int           // wrong chunks of one stream before it is given up
	MaxAnswerBytes int           // of one answer
	Dial           Dialer        // nil uses net.Dialer
}

func (c Config) withDefaults() Config {
	setDuration(&c.DialTimeout, DefaultDialTimeout)
	setDuration(&c.WriteTimeout, DefaultWriteTimeout)
	setDuration(&c.HeaderTimeout, DefaultHeaderTimeout)
	setDuration(&c.FirstTokenWait, DefaultFirstTokenWait)
	setDuration(&c.MinSilence, DefaultMinSilence)
	setDuration(&c.ResumeDelay, DefaultResumeDelay)
	setDuration(&c.OrderTimeout, DefaultOrderTimeout)
	setDuration(&c.ControlTimeout, DefaultControlTimeout)
	setInt(&c.MaxResumes, DefaultMaxResumes)
	setInt(&c.MaxDiscards, DefaultMaxDiscards)
	setInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	if c.SilenceFactor == 0 {
		c.SilenceFactor = DefaultSilenceFactor
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAlive: keepAliveOff}).DialContext
	}
	return c
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Stats counts what the client did. All fields only rise.
type Stats struct {
	Dispatched atomic.Uint64 // requests of which at least one byte was written
	Discarded  atomic.Uint64 // answers or chunks that named something else
	Duplicates atomic.Uint64 // chunks received before
	Silent     atomic.Uint64 // streams that fell silent
	Broken     atomic.Uint64 // streams that ended without their final chunk
	Resumed    atomic.Uint64 // resumptions that the target accepted
}

// Client talks to targets. It is safe for concurrent use.
type Client struct {
	cfg   Config
	stats Stats
}

// New returns a client.
func New(cfg Config) *Client { return &Client{cfg: cfg.withDefaults()} }

// Stats returns the counters.
func (c *Client) Stats() *Stats { return &c.stats }

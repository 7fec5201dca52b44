package fleet

import (
	"time"

	"cicadaslip/internal/credentials"
)

// Kind classifies the requests of a route by whether they may be retried.
type Kind string

// The kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Backend is one service of a route and its share of the route's requests.
type Backend struct {
	Service string
	Weight  float64 // relative to the weights of the route's other backends
}

// Route configures how requests for one host and path prefix are handled.
type Route struct {
	Name              string
	Host              string
	PathPrefix        string // begins and ends with a slash
	Kind              Kind
	Backends          []Backend
	Timeout           time.Duration // maximum time until the final answer
	LatencyObjective  time.Duration // objective for the time until the answer; for streams, until the first event
	EventGapObjective time.Duration // objective for the longest gap between two events of a stream
	AbandonAfter      time.Duration // callers abandon a stream without an event for that long, 0 if they wait until their deadline
	Priority          int           // 0 is the highest
	MaxAttempts       int           // maximum number of targets that may run one request
	Resumable         bool          // whether a stream may be continued on another target
	Public            bool          // whether requests need no key
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// BaseModel is a base model that the targets of a service can load.
type BaseModel struct {
	Name      string
	WeightsMB float64       // memory for the weights
	LoadTime  time.Duration // time to load the weights from the weights store when nothing else is loading
	Adapters  int           // number of adapters that exist for the model
	AdapterMB float64       // memory for one adapter
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // maximum number of requests in one batch
	CacheTokens    int     // capacity of the KV cache for prompts and answers, in tokens
	EventTokens    int     // number of tokens in one event of a stream
	WeightsMB      float64 // memory for base models and adapters
	AdapterSlots   int     // maximum number of adapters on one target
	LoadsPerSecond float64 // rate limit of base-model loads, over all targets
	Models         []BaseModel
}

// Service describes one type of target.
type Service struct {
	Name           string
	MaxConnections int     // maximum number of connections to one target, from all VMs together
	Engine         *Engine // nil for plain services, which run no model engine
}

// MaxHeaderBytes bounds Limits.HeaderBytes, because each connection of a caller holds a buffer for a
// head. It is twice the usual limit of 16 KiB.
const MaxHeaderBytes = 32 << 10

// Limits bounds the requests that a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Quota limits what the requests of an organisation may use, over all VMs.
type Quota struct {
	PerSecond   float64 // 0 for no limit
	Burst       float64 // in addition to PerSecond, after a time without requests
	InTokens    bool    // requests count by their tokens, else each counts as 1
	PlainTokens int     // tokens of a request that states none
}

// Organisation is a customer whose callers use keys.
type Organisation struct {
	Name     string
	Keys     []credentials.Digest
	Priority int // 0 is the highest; it comes before the priority of a route
	Quota    Quota
}

// Config is one version of the deployment's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	Ignored  []error // parts that were left out because they can't be used

	// NeedsKeys is set if requests need a key of an organisation, unless their route is public.
	NeedsKeys     bool
	Organisations []Organisation
	// KeysIncomplete is set if a part of the organisations was left out, so that a key that
	// belongs to none of them may be valid.
	KeysIncomplete bool
}

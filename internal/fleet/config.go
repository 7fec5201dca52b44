package fleet

import "time"

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)

// Backend is one service of a route and its share of the route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          Kind
	Backends      []Backend
	Timeout       time.Duration // longest time without a final answer
	TargetLatency time.Duration // objective, of streams to the first event
	GapTarget     time.Duration // longest pause between the events of a stream
	Priority      int           // 0 is the highest
	MaxAttempts   int           // targets that may run one request
	Resumable     bool          // a stream may go on at another target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// BaseModel is a model that the targets of a service can hold.
type BaseModel struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration // from the weights store, alone
	Adapters  int           // that exist
	AdapterMB float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int // requests in one batch
	CacheTokens    int // memory for prompts and answers
	EventTokens    int // tokens in one event of a stream
	WeightsMB      float64
	AdapterSlots   int
	LoadsPerSecond float64 // of base models, over all targets
	Models         []BaseModel
}

// Service is a kind of target.
type Service struct {
	Name           string
	MaxConnections int     // to one target, from all VMs
	Engine         *Engine // nil for plain services
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

package runner

import "time"

// Defaults of Config.
const (
	DefaultSlots         = 4
	DefaultConcurrency   = 8
	DefaultLoadTime      = 250 * time.Millisecond
	DefaultTransitLimit  = 8
	DefaultTokenInterval = 5 * time.Millisecond
	DefaultBatchCost     = 0.05
	DefaultPrefillTime   = 50 * time.Microsecond
	DefaultReportLag     = 500 * time.Millisecond
	DefaultMaxTokens     = 16
	maxTokensLimit       = 65536
	finishedKept         = 1024 // finished streams that can still be resumed
	logLimit             = 100000
	orphanAfter          = 10 * time.Second // a stream without a reader is cancelled
	pollInterval         = 10 * time.Millisecond
)

// Config holds the settings of a stand-in runner. Zero values take defaults.
type Config struct {
	Name          string
	Slots         int           // adapter slots
	Concurrency   int           // requests that generate at the same time
	LoadTime      time.Duration // of one adapter while few loads are in transit
	TransitLimit  int           // loads in transit before loads slow down
	TokenInterval time.Duration // between tokens of a single running request
	BatchCost     float64       // added share of the interval per further request
	PrefillTime   time.Duration // per prompt token that is not cached
	ReportLag     time.Duration // age of the load report
	CheckFencing  bool          // refuses orders with an old token
	Transit       Transit       // shared count of loads; nil counts this runner's own
}

func (c Config) withDefaults() Config {
	setInt(&c.Slots, DefaultSlots)
	setInt(&c.Concurrency, DefaultConcurrency)
	setInt(&c.TransitLimit, DefaultTransitLimit)
	setDuration(&c.LoadTime, DefaultLoadTime)
	setDuration(&c.TokenInterval, DefaultTokenInterval)
	setDuration(&c.PrefillTime, DefaultPrefillTime)
	setDuration(&c.ReportLag, DefaultReportLag)
	if c.BatchCost == 0 {
		c.BatchCost = DefaultBatchCost
	}
	if c.Transit == nil {
		c.Transit = &LocalTransit{}
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

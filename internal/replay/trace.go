package replay

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Version is the version of the trace format that this package reads and writes.
const Version = 1

// MaxLineBytes bounds one line of a trace.
const MaxLineBytes = 1 << 20

// Origins of a trace.
const (
	OriginRecorded  = "recorded"
	OriginSynthetic = "synthetic"
)

// Header is the first line of a trace.
type Header struct {
	Version    int        `json:"version"`
	Deployment Deployment `json:"deployment"`
	Origin     string     `json:"origin"` // OriginRecorded or OriginSynthetic
	Seed       uint64     `json:"seed,omitempty"`
	// MeasureFrom excludes the time before it, in which the targets fill up,
	// from the measures.
	MeasureFrom time.Duration `json:"measure_from_ns,omitempty"`
	// Peaks are the times of peak demand. Empty: the whole measured time.
	Peaks []Interval `json:"peaks,omitempty"`
}

// Interval is a half-open interval of trace time.
type Interval struct {
	From time.Duration `json:"from_ns"`
	To   time.Duration `json:"to_ns"`
}

func (i Interval) contains(t time.Duration) bool { return t >= i.From && t < i.To }

// Deployment describes the targets and the surroundings of a trace.
type Deployment struct {
	Name            string             `json:"name"`
	Targets         []model.Target     `json:"targets"`
	GroupsPerPool   int                `json:"groups_per_pool"`
	Shares          map[string]float64 `json:"shares"`
	LoadRate        float64            `json:"load_rate"`        // of the weights store, loads/s
	LocalDelay      time.Duration      `json:"local_delay_ns"`   // one way, within a region
	RegionDelay     time.Duration      `json:"region_delay_ns"`  // one way, between regions
	ClientDelay     time.Duration      `json:"client_delay_ns"`  // one way, caller to entry VM
	ServiceTime     time.Duration      `json:"service_time_ns"`  // of a call of a plain service
	Engine          EngineRule         `json:"engine"`           // of the model runners
	Regions         map[string]string  `json:"regions"`          // region by data centre
	RepeatableKinds map[string]bool    `json:"repeatable_kinds"` // by "organisation/kind"
}

// EngineRule is the rule for the service time of a model runner: one step of
// its batch takes Base, plus PerSequence for each sequence that decodes a token
// in it, plus PerPrompt for each prompt token that is not in the prefix cache.
type EngineRule struct {
	Base         time.Duration `json:"base_ns"`
	PerSequence  time.Duration `json:"per_sequence_ns"`
	PerPrompt    time.Duration `json:"per_prompt_ns"`
	PromptChunk  int           `json:"prompt_chunk"`  // prompt tokens that one step processes at most
	BlockTokens  int           `json:"block_tokens"`  // prompt tokens of one prefix block
	PrefixBlocks int           `json:"prefix_blocks"` // prefix blocks that the cache holds
}

// Record is one line of a trace after the header. Exactly one of its parts is set.
type Record struct {
	At            time.Duration  `json:"at_ns"`
	Arrival       *Arrival       `json:"arrival,omitempty"`
	Slow          *Slow          `json:"slow,omitempty"`
	Lag           *Lag           `json:"lag,omitempty"`
	Restart       *Restart       `json:"restart,omitempty"`
	FailLoads     *FailLoads     `json:"fail_loads,omitempty"`
	List          *ListChange    `json:"list,omitempty"`
	Configuration *Configuration `json:"configuration,omitempty"`
}

// Arrival is one caller's request.
type Arrival struct {
	ID           model.RequestID   `json:"id"`
	Organisation string            `json:"organisation"`
	Adapter      string            `json:"adapter,omitempty"` // runners only
	Version      string            `json:"version,omitempty"` // runners only
	Kind         string            `json:"kind"`
	Class        model.TargetClass `json:"class"`
	Served       string            `json:"served"` // base model or application
	PromptTokens int               `json:"prompt_tokens,omitempty"`
	OutputTokens int               `json:"output_tokens,omitempty"`
	Prefix       []uint64          `json:"prefix,omitempty"` // hashes of prefix blocks, shortest first
	Deadline     time.Duration     `json:"deadline_ns"`      // whole answer due after arrival
	Worth        float64           `json:"worth"`
	DataCentre   string            `json:"data_centre"` // of the entry VM
	Long         bool              `json:"long,omitempty"`
}

func (a *Arrival) adapter() model.AdapterVersion {
	if a.Class == model.ClassService {
		return model.AdapterVersion{}
	}
	return model.AdapterVersion{Organisation: a.Organisation, Adapter: a.Adapter, Version: a.Version}
}

// Slow makes a target slower by Factor for Length.
type Slow struct {
	Target string        `json:"target"`
	Factor float64       `json:"factor"`
	Length time.Duration `json:"length_ns"`
}

// Lag delays the load reports of a target.
type Lag struct {
	Target string        `json:"target"`
	Lag    time.Duration `json:"lag_ns"`
}

// Restart empties a target and ends what it runs.
type Restart struct {
	Target string `json:"target"`
}

// FailLoads lets the next Count loads on a target fail.
type FailLoads struct {
	Target string `json:"target"`
	Count  int    `json:"count"`
}

// ListChange changes a target in the platform's list: leaving, removed or
// (neither) live.
type ListChange struct {
	Target  string `json:"target"`
	Leaving bool   `json:"leaving,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Configuration replaces the shares and, unless zero, the load rate.
type Configuration struct {
	Shares   map[string]float64 `json:"shares,omitempty"`
	LoadRate float64            `json:"load_rate,omitempty"`
}

// Trace is a whole trace in memory.
type Trace struct {
	Header  Header
	Records []Record
}

// without returns the trace without its long requests.
func (t *Trace) withoutLong() *Trace {
	out := &Trace{Header: t.Header}
	for _, r := range t.Records {
		if r.Arrival == nil || !r.Arrival.Long {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// end returns the time of the last record.
func (t *Trace) end() time.Duration {
	if len(t.Records) == 0 {
		return 0
	}
	return t.Records[len(t.Records)-1].At
}

func invalid(message string) *errs.Error { return errs.New(errs.InvalidMessage, message) }

package placer

import "time"

// Params are the settings of a core. With an Engine.CacheTokens of 0 the KV cache does
// not limit the granted requests.
type Params struct {
	Engine Engine
	// Regions maps data centres to their regions.
	Regions map[string]string
	// MaxColdLoads is the first limit of the concurrent adapter loads from the weights
	// store, over all targets of the group. Observed load times adjust it.
	MaxColdLoads int
	// FirstOwner is set if no earlier owner has sent orders to the targets.
	FirstOwner bool
}

// Engine describes the engines of the group's targets.
type Engine struct {
	CacheTokens    int     // capacity of the KV cache, in tokens
	EventTokens    int     // tokens in one event of a stream
	AdapterSlots   int     // adapters that one target can hold
	WeightsMB      float64 // memory for base models and adapters of one target, in MB
	LoadsPerSecond float64 // this group's share of base model loads from the weights store, per second
	Models         []Model
}

// Model is a base model that the targets may load.
type Model struct {
	Name      string
	WeightsMB float64       // size of the base model, in MB
	AdapterMB float64       // size of one of its adapters, in MB
	LoadTime  time.Duration // time of a load from the weights store
}

// Estimates that apply until latencies have been observed.
const (
	// initialPrefillPerToken is the prefill time of one prompt token. Observed
	// prefill times adjust the estimate.
	initialPrefillPerToken = 26 * time.Microsecond
	// decodeTokenTime is the time to generate one output token.
	decodeTokenTime = 5500 * time.Microsecond
	// initialColdLoad and initialWarmLoad are the times to load an adapter from
	// the weights store and from the target's own memory.
	initialColdLoad = 250 * time.Millisecond
	initialWarmLoad = 25 * time.Millisecond
)

const (
	// observationWeight is the weight of a new observation in a moving average.
	observationWeight = 0.15
	// slownessWeight is the weight of a new observation in the average slowness of
	// a target.
	slownessWeight = 0.05
	// maxSlowness limits the slowness that a single late observation can indicate.
	maxSlowness = 6.0

	// maxBacklogForLateRequests is the largest backlog with which a target still gets
	// requests that are already late. With a larger one they would delay requests
	// that can still be on time.
	maxBacklogForLateRequests = 120 * time.Millisecond
	// objectiveMargin is kept between the expected first event and the objective.
	objectiveMargin = 20 * time.Millisecond
	// replicationBacklog is the backlog of a target from which its adapter may also
	// be loaded on another target.
	replicationBacklog = 350 * time.Millisecond
	// replicationDemand is the demand for an adapter, in recent requests per target
	// that holds it, that justifies a further replica.
	replicationDemand = 4
	// spareTransit is the fraction of the limit of concurrent loads from the weights store up to
	// which the store has capacity left.
	spareTransit = 0.5
	// coldLoadPenalty is the delay of a first event that is accepted to avoid a load
	// from the weights store, which is billed.
	coldLoadPenalty = 350 * time.Millisecond
	// regionRoundTrip is the round-trip time to another region, including the
	// connection setup.
	regionRoundTrip = 50 * time.Millisecond
	// regionBytePenalty is the delay of a first event that is accepted to avoid
	// sending one byte to another region.
	regionBytePenalty = 3 * time.Microsecond

	// streamPenalty is the delay of a first event that is accepted to avoid
	// interrupting one running stream: a target's streams pause during the prefill
	// of a long prompt. The sum over all streams is limited by maxStreamPenalty.
	streamPenalty    = 40 * time.Millisecond
	maxStreamPenalty = 500 * time.Millisecond
	// prefillPenalty is the delay of a first event that is accepted to keep a short
	// prompt away from a target that spends all its time on prefill. It applies in
	// proportion to the share of time that the target spends on prefill.
	prefillPenalty = 800 * time.Millisecond
	// longPromptTokens is the prompt length, in tokens, from which prefill delays
	// running streams noticeably.
	longPromptTokens = 1500

	// maxCacheFill is the fraction of the KV cache that granted requests may fill.
	maxCacheFill = 0.85
	// maxLoadsPerTarget is the maximum number of concurrent adapter loads on one
	// target.
	maxLoadsPerTarget = 4
	// maxRecentAdapters is the number of unloaded adapters that a target is assumed
	// to keep in its own memory.
	maxRecentAdapters = 40

	// warmPollInterval and coldPollInterval are the times between polls for the end
	// of a load from the target's memory and from the weights store.
	warmPollInterval = 12 * time.Millisecond
	coldPollInterval = 40 * time.Millisecond
	// modelPollInterval is the time between polls for the end of a base model load.
	modelPollInterval = 300 * time.Millisecond
	// orderRetryDelay is the delay before an order is repeated that could not be
	// sent. It grows with the number of consecutive failures.
	orderRetryDelay = 120 * time.Millisecond
	// maxReportLag is the time by which a report may lag behind the target's state.
	maxReportLag = 300 * time.Millisecond
	// reportRetryInterval is the time between requests for a report.
	reportRetryInterval = 400 * time.Millisecond
	// rejectedOrderPause is the time without further orders after a target rejected
	// one as misdirected, and without further loads of an adapter after a target
	// rejected an order for it as invalid.
	rejectedOrderPause = time.Second
	// maxLoadTime is the time after which a load counts as hung.
	maxLoadTime = 5 * time.Second

	// versionGrace is the time for which an outdated adapter version may be used
	// while no target of the group has the newer one.
	versionGrace = 2500 * time.Millisecond

	// minAvoidance is the time for which a failing target gets no new work while
	// other targets can serve it. It doubles with each further failure up to
	// maxAvoidance.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// failuresToAvoid is the number of consecutive failures from which a target is
	// avoided.
	failuresToAvoid = 2

	// abandonMargin is the part of the time until callers abandon a request that is
	// reserved for its first event.
	abandonMargin = 300 * time.Millisecond
	// maxWaitFraction is the fraction of a request's remaining time that its
	// expected wait may take on arrival.
	maxWaitFraction = 0.6
	// minRetryAfter and maxRetryAfter limit the retry delay that refused callers
	// are advised to observe.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxQueueLength is the maximum number of queued requests.
	maxQueueLength = 2000
	// runExpiryGrace is the time after its deadline at which a granted request that
	// was not released counts as ended.
	runExpiryGrace = 2 * time.Second
)

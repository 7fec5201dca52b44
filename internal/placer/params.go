package placer

import "time"

// Params are the settings of a core. Zero fields take the defaults.
type Params struct {
	Engine Engine
	// Regions are those of the data centres.
	Regions map[string]string
	// Transit is the number of adapters that may be on their way from the
	// weights store to the group's targets at the same time.
	Transit int
	// Fresh says that nobody has ordered anything from the targets before.
	Fresh bool
}

// Engine is what the configuration says of the targets' engines.
type Engine struct {
	CacheTokens    int
	EventTokens    int
	AdapterSlots   int
	WeightsMB      float64
	LoadsPerSecond float64 // share of this group, of base models from the weights store
	Models         []Model
}

// Model is a base model that the targets may hold.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	LoadTime  time.Duration
}

// Estimates before anything was observed.
const (
	// firstPromptRate is the time to read one prompt token. It is corrected by
	// what is observed.
	firstPromptRate = 26 * time.Microsecond
	// firstStep is the time of one token of an answer.
	firstStep = 5500 * time.Microsecond
	// firstColdLoad and firstWarmLoad are the times to load an adapter from the
	// weights store and from the target's own memory.
	firstColdLoad = 250 * time.Millisecond
	firstWarmLoad = 25 * time.Millisecond
)

const (
	// observedWeight is the weight of a new observation in a moving average.
	observedWeight = 0.15
	// usualWeight is the same for the speed of one target.
	usualWeight = 0.05
	// slowestSpeed bounds the slowness that one late observation can show.
	slowestSpeed = 6.0

	// lateBacklog is the backlog of a target up to which it takes requests that
	// are late already. More would delay those that are not.
	lateBacklog = 120 * time.Millisecond
	// onTimeMargin is kept between the expected first event and the objective.
	onTimeMargin = 20 * time.Millisecond
	// replicaBacklog is the backlog from which an adapter is also loaded
	// elsewhere.
	replicaBacklog = 350 * time.Millisecond
	// replicaDemand is the recent requests for an adapter, for each target that
	// holds it, that justify another.
	replicaDemand = 4
	// coldCost is the delay of a first event that is accepted to spare a load from
	// the weights store, which is billed.
	coldCost = 350 * time.Millisecond
	// regionTrip is the time of a request to another region and back, with that
	// of its connection.
	regionTrip = 50 * time.Millisecond
	// regionByteCost is the same as coldCost for one byte between regions.
	regionByteCost = 3 * time.Microsecond

	// streamCost is the same for each running stream of a target that is to read
	// a long prompt, up to streamsCost: its streams pause meanwhile.
	streamCost  = 40 * time.Millisecond
	streamsCost = 500 * time.Millisecond
	// readingCost is the same for a short prompt on a target that reads all the
	// time.
	readingCost = 800 * time.Millisecond
	// longPrompt is the prompt, in tokens, that holds streams up noticeably.
	longPrompt = 1500

	// memoryPart is the part of the engine's memory that granted requests fill.
	memoryPart = 0.85
	// maxComing is the number of adapters that may be in transit to one target.
	maxComing = 4
	// rememberedAdapters is the number of dropped adapters that a target is
	// assumed to keep in its own memory.
	rememberedAdapters = 40

	// pollWarm and pollCold are the times between questions whether a load has
	// ended.
	pollWarm = 12 * time.Millisecond
	pollCold = 40 * time.Millisecond
	// modelPoll is the same for base models.
	modelPoll = 300 * time.Millisecond
	// orderRetry is the time before an order without an answer is repeated.
	orderRetry = 120 * time.Millisecond
	// reportLag is the age that a report can have.
	reportLag = 300 * time.Millisecond
	// reportRetry is the time between questions for a report.
	reportRetry = 400 * time.Millisecond
	// orderPause is the time without orders after a target refused one as
	// misdirected or invalid.
	orderPause = time.Second
	// loadLimit ends a load that hangs.
	loadLimit = 5 * time.Second

	// versionGrace is the time for which an older version is used while no
	// target of the group has the newer one.
	versionGrace = 2500 * time.Millisecond

	// troublePause is the time for which a target that fails gets no new work
	// while others can serve it. It doubles with each failure up to
	// troubleLongest.
	troublePause   = 300 * time.Millisecond
	troubleLongest = 4 * time.Second
	// troubleMemory is the number of failures in a row from which a target is
	// avoided.
	troubleMemory = 2

	// streamPatience is the time after which callers abandon a stream that has
	// not begun.
	streamPatience = 4500 * time.Millisecond
	// queuePart is the part of the time left that the expected wait may take on
	// arrival.
	queuePart = 0.6
	// shortestRetry and longestRetry bound the advice when to return.
	shortestRetry = 200 * time.Millisecond
	longestRetry  = 2 * time.Second
	// maxWaiting bounds the queue.
	maxWaiting = 2000
	// runSlack is the time after its deadline at which a run without a release
	// counts as ended.
	runSlack = 2 * time.Second
)

package metrics

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter Kind = "counter" // increases from zero at the start of the process
	Gauge   Kind = "gauge"   // current value
	ByLabel Kind = "map"     // one number per label
	Latency Kind = "latency" // count and percentiles over the last minute
)

// Name is the key of a metric under the expvar "cicadaslip".
type Name string

// Names of the metrics.
const (
	RequestsByOutcome     Name = "requests_by_outcome"
	RequestsInFlight      Name = "requests_in_flight"
	RequestLatency        Name = "request_latency"
	FirstTokenLatency     Name = "first_token_latency"
	TokenGap              Name = "token_gap"
	QueueWait             Name = "queue_wait"
	AdapterWait           Name = "adapter_wait"
	AdapterWaits          Name = "adapter_waits"
	AnswersDiscarded      Name = "answers_discarded"
	StreamsResumed        Name = "streams_resumed"
	RequestsHedged        Name = "requests_hedged"
	PermitsHeld           Name = "permits_held"
	GroupsOwned           Name = "groups_owned"
	GroupTakeovers        Name = "group_takeovers"
	AdapterLoadsByOutcome Name = "adapter_loads_by_outcome"
	AdapterEvictions      Name = "adapter_evictions"
	ClaimsByState         Name = "claims_by_state"
	ClaimLatency          Name = "claim_latency"
	JournalBatches        Name = "journal_batches"
	JournalRecords        Name = "journal_records"
	JournalTakeovers      Name = "journal_takeovers"
	JournalStoreFailures  Name = "journal_store_failures"
	JournalRefused        Name = "journal_refused"
	JournalBacklog        Name = "journal_backlog"
	JournalBacklogLost    Name = "journal_backlog_lost"
	StoreCallsByOutcome   Name = "store_calls_by_outcome"
	StoreLatency          Name = "store_latency"
	PeerCallsByOutcome    Name = "peer_calls_by_outcome"
	PeerLatency           Name = "peer_latency"
	PeerConnections       Name = "peer_connections"
	PeersRefused          Name = "peers_refused"
	HeartbeatsSent        Name = "heartbeats_sent"
	HeartbeatBytesSent    Name = "heartbeat_bytes_sent"
	HeartbeatsReceived    Name = "heartbeats_received"
	HeartbeatsRefused     Name = "heartbeats_refused"
	PeersByState          Name = "peers_by_state"
	ConfigVersion         Name = "config_version"
	UsageOpenRequests     Name = "usage_open_requests"
	UsageDroppedRequests  Name = "usage_dropped_requests"
	TimelineOverwritten   Name = "timeline_overwritten"
)

// Definition documents one metric.
type Definition struct {
	Name Name
	Kind Kind
	Unit string
	Help string
}

const microseconds = "microseconds"

// Definitions lists all metrics.
var Definitions = []Definition{
	{RequestsByOutcome, ByLabel, "requests", "completions and service calls by error code, \"ok\" for complete responses, and refused queries"},
	{RequestsInFlight, Gauge, "requests", "accepted and not yet answered"},
	{RequestLatency, Latency, microseconds, "from arrival to the end of the response"},
	{FirstTokenLatency, Latency, microseconds, "from arrival to the first token, of attempts that completed"},
	{TokenGap, Latency, microseconds, "mean time between tokens of each request"},
	{QueueWait, Latency, microseconds, "from arrival at the group's owner, which is this VM, to the permit"},
	{AdapterWait, Latency, microseconds, "wait for a permit while no group was known to have the adapter"},
	{AdapterWaits, Counter, "attempts", "attempts that asked for a permit while no group was known to have the adapter"},
	{AnswersDiscarded, Counter, "responses", "responses of a target to another request, adapter or version"},
	{StreamsResumed, Counter, "streams", "streams resumed at their offset on a new connection"},
	{RequestsHedged, Counter, "requests", "requests with a second attempt beside the first"},
	{PermitsHeld, Gauge, "permits", "permits that this VM's front end holds"},
	{GroupsOwned, Gauge, "groups", "target groups that this VM owns"},
	{GroupTakeovers, Counter, "takeovers", "target groups that this VM took over"},
	{AdapterLoadsByOutcome, ByLabel, "loads", "adapter loads by error code, \"ok\" when resident"},
	{AdapterEvictions, Counter, "evictions", "adapters evicted from a slot"},
	{ClaimsByState, ByLabel, "claims", "answers to at-most-once claims by state"},
	{ClaimLatency, Latency, microseconds, "claims, from the front end's call to the answer of the shard's owner"},
	{JournalBatches, Counter, "batches", "batches that this VM's shards committed"},
	{JournalRecords, Counter, "records", "records in committed batches"},
	{JournalTakeovers, Counter, "takeovers", "journal shards that this VM took over"},
	{JournalStoreFailures, Counter, "calls", "store calls of the journal that failed"},
	{JournalRefused, Counter, "calls", "calls that this VM's shards refused without an answer"},
	{JournalBacklog, Gauge, "records", "outcomes and releases that wait to be sent again"},
	{JournalBacklogLost, Counter, "records", "outcomes and releases dropped from a full backlog"},
	{StoreCallsByOutcome, ByLabel, "calls", "calls to the object API and reads of the list by error code, \"ok\" for success"},
	{StoreLatency, Latency, microseconds, "calls to the object API and reads of the list, without watches"},
	{PeerCallsByOutcome, ByLabel, "calls", "calls to peers by error code of the transport, \"ok\" for an answer"},
	{PeerLatency, Latency, microseconds, "calls to peers that do not wait in a queue"},
	{PeerConnections, Gauge, "connections", "authenticated connections from peers"},
	{PeersRefused, Counter, "connections", "connections refused for identity or a bound"},
	{HeartbeatsSent, Counter, "datagrams", "heartbeat datagrams sent"},
	{HeartbeatBytesSent, Counter, "bytes", "UDP content of the heartbeats sent"},
	{HeartbeatsReceived, Counter, "datagrams", "heartbeat datagrams accepted"},
	{HeartbeatsRefused, ByLabel, "datagrams", "heartbeat datagrams refused, by reason"},
	{PeersByState, ByLabel, "VMs", "known VMs by liveness state, present values"},
	{ConfigVersion, Gauge, "version", "configuration version in force"},
	{UsageOpenRequests, Gauge, "requests", "requests whose used and given sides are not yet matched"},
	{UsageDroppedRequests, Counter, "requests", "requests dropped from matching at the bound"},
	{TimelineOverwritten, Counter, "events", "timeline events lost from the ring"},
}

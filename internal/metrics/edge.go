package metrics

// Names of the metrics of an entry VM on the users' platform.
const (
	EdgeRequests          Name = "edge_requests"
	EdgeFailures          Name = "edge_failures"
	EdgeInFlight          Name = "edge_in_flight"
	EdgeLatency           Name = "edge_latency"
	EdgeFirstEvent        Name = "edge_first_event"
	EdgeEventGap          Name = "edge_event_gap"
	EdgeLate              Name = "edge_late"
	EdgeStreamsResumed    Name = "edge_streams_resumed"
	EdgeStreamsCut        Name = "edge_streams_cut"
	EdgeUnanswered        Name = "edge_unanswered"
	EdgeAttemptsFailed    Name = "edge_attempts_failed"
	EdgeMalformed         Name = "edge_malformed"
	EdgeTargetConnections Name = "edge_target_connections"
	EdgeGroupsOwned       Name = "edge_groups_owned"
	EdgeGroupChanges      Name = "edge_group_changes"
	EdgeGrants            Name = "edge_grants"
	EdgeGrantWait         Name = "edge_grant_wait"
	EdgeStreamsHeld       Name = "edge_streams_held"
	EdgeReplicas          Name = "edge_replicas"
	EdgeRefusals          Name = "edge_refusals"
	EdgeOrders            Name = "edge_orders"
	EdgeOrderTime         Name = "edge_order_time"
	EdgeStoreLost         Name = "edge_store_lost"
	EdgeStoreRestores     Name = "edge_store_restores"
	EdgeStoreCatchUp      Name = "edge_store_catch_up"
	EdgeOwnersSilent      Name = "edge_owners_silent"
	EdgeConfigVersion     Name = "edge_config_version"
	EdgeStoreCalls        Name = "edge_store_calls"
	EdgeRepeats           Name = "edge_repeats"
	EdgeHedges            Name = "edge_hedges"
	EdgeHedgesDenied      Name = "edge_hedges_denied"
	EdgeHedgeDelay        Name = "edge_hedge_delay"
	EdgeQueue             Name = "edge_queue"
	EdgeQueueAge          Name = "edge_queue_age"
	EdgeViewAge           Name = "edge_view_age"
	EdgeVMs               Name = "edge_vms"
	EdgeLogLinesDropped   Name = "edge_log_lines_dropped"
	EdgePanics            Name = "edge_panics"
	EdgeQuarantines       Name = "edge_quarantines"
	EdgeTargetsLeaving    Name = "edge_targets_leaving"
	EdgeTargetsPaused     Name = "edge_targets_paused"
	EdgePauseHeld         Name = "edge_pause_held"
	EdgeStatementsIgnored Name = "edge_statements_ignored"
	EdgeTargetsLimited    Name = "edge_targets_limited"
	EdgeLimits            Name = "edge_limits"
	EdgeLimitHeld         Name = "edge_limit_held"
	EdgeLimitSent         Name = "edge_limit_sent"
	EdgeUngranted         Name = "edge_ungranted"
	EdgeEntriesIgnored    Name = "edge_entries_ignored"

	EdgeOrganisationGrants   Name = "edge_organisation_grants"
	EdgeOrganisationRefusals Name = "edge_organisation_refusals"
	EdgeQuota                Name = "edge_quota"
	EdgeQuotaCalls           Name = "edge_quota_calls"
	EdgeMemory               Name = "edge_memory"
	EdgeMemoryRefused        Name = "edge_memory_refused"
	EdgeMemoryCut            Name = "edge_memory_cut"
	EdgeConnections          Name = "edge_connections"
)

// EdgeDefinitions lists the metrics of an entry VM on the users' platform.
var EdgeDefinitions = []Definition{
	{EdgeRequests, ByLabel, "requests", "answered, by kind of route and status"},
	{EdgeFailures, ByLabel, "requests", "failed here, by error code"},
	{EdgeInFlight, Gauge, "requests", "accepted and not yet answered"},
	{EdgeLatency, Latency, microseconds, "from arrival to the end of the answer"},
	{EdgeFirstEvent, Latency, microseconds, "of streams, from arrival to the first event"},
	{EdgeEventGap, Latency, microseconds, "of streams, the longest pause between two events"},
	{EdgeLate, ByLabel, "streams", "first event or a pause over the route's objective"},
	{EdgeStreamsResumed, Counter, "streams", "continued at another target"},
	{EdgeStreamsCut, ByLabel, "streams", "ended after their head without their end, by error code; cancelled: the caller left"},
	{EdgeUnanswered, ByLabel, "requests", "cut by the end of the process after a drain, by kind of route and whether a target may have received them"},
	{EdgeAttemptsFailed, ByLabel, "attempts", "requests to a target that failed, by reason"},
	{EdgeMalformed, ByLabel, "requests", "input that is no request, or not a whole one in time, by status"},
	{EdgePanics, ByLabel, "panics", "unexpected errors that ended a request, a call or a step, by place"},
	{EdgeQuarantines, ByLabel, "parts", "of prompts that crash targets: part_quarantined, part_released"},
	{EdgeTargetsLeaving, ByLabel, "targets", "that leave, by service, as their descriptions or answers state"},
	{EdgeTargetsPaused, ByLabel, "targets", "that want no requests from this VM for a while, by service"},
	{EdgePauseHeld, ByLabel, "requests", "held up by pauses of targets, as owner: granted or refused after it, or refused because all pause; skipped: a target was chosen or granted and the request not sent to it"},
	{EdgeStatementsIgnored, ByLabel, "statements", "of targets about themselves that were ignored, by header field; foreign: in an answer of another target or to another request"},
	{EdgeTargetsLimited, ByLabel, "targets", "that limit their requests, by service, as far as this VM knows"},
	{EdgeLimits, ByLabel, "requests a minute", "sum of these limits, by service"},
	{EdgeLimitHeld, ByLabel, "requests", "held up by limits of targets, as owner: granted or refused after it; no_share: this VM's shares of the limits left none, plain services"},
	{EdgeLimitSent, ByLabel, "requests and orders", "to targets known to be limited: granted by this VM as owner, chosen by it without an owner, likewise _repeat after another target; order"},
	{EdgeUngranted, Counter, "requests", "placed at engines without an owner's grant"},
	{EdgeEntriesIgnored, ByLabel, "entries", "left out as unusable, by kind of the store, report of a target or peer, each time they are read"},
	{EdgeQuota, ByLabel, "requests", "of organisations with a quota, by organisation, \"(unknown)\" for one that the configuration in force does not have: admitted or rejected here as owner or by the VM that sends them itself; delayed: waited for credit, then one of these"},
	{EdgeQuotaCalls, ByLabel, "calls", "to coordinators of quotas, answered or failed"},
	{EdgeTargetConnections, Gauge, "connections", "opened to targets since the start"},
	{EdgeGroupsOwned, Gauge, "groups", "target groups that this VM owns"},
	{EdgeGroupChanges, ByLabel, "actions", "of this VM on the objects of groups, with the error code"},
	{EdgeGrants, Counter, "requests", "placed by this VM as owner"},
	{EdgeGrantWait, Latency, microseconds, "from the question to the grant, as owner"},
	{EdgeStreamsHeld, Counter, "requests", "granted after they had waited for the streams of a target to get an event, as owner"},
	{EdgeReplicas, Counter, "loads", "of busy adapters on further targets, accepted by these, as owner"},
	{EdgeRefusals, ByLabel, "requests", "refused by this VM as owner, by error code"},
	{EdgeOrganisationGrants, ByLabel, "requests", "of organisations that this VM placed as owner, by organisation"},
	{EdgeOrganisationRefusals, ByLabel, "requests", "of organisations that this VM refused as owner, by organisation and cause: rank, share, capacity, queue_full, or an error code"},
	{EdgeOrders, ByLabel, "orders", "sent to targets, by operation and result"},
	{EdgeOrderTime, Latency, microseconds, "answers of targets to orders"},
	{EdgeStoreLost, Counter, "times", "the store could not be reached any more"},
	{EdgeStoreRestores, Counter, "times", "the store was restored from a copy"},
	{EdgeStoreCatchUp, Latency, "microseconds", "from hearing of a restored store until this VM follows all of it"},
	{EdgeOwnersSilent, Counter, "times", "an owner did not answer any more"},
	{EdgeConfigVersion, Gauge, "version", "configuration in force"},
	{EdgeStoreCalls, ByLabel, "calls", "lists and watches of the store, by kind and error code"},
	{EdgeRepeats, ByLabel, "requests", "questions to the budget of repeats, allowed or denied; returned: allowed and not sent"},
	{EdgeHedges, ByLabel, "attempts", "beside one that goes on, with --hedge-limit: sent; of these won (answered first), lost, failed"},
	{EdgeHedgesDenied, ByLabel, "requests", "not hedged after the delay, by reason, once for each request and reason"},
	{EdgeHedgeDelay, ByLabel, "milliseconds", "after which requests are hedged, by service, if they are; of streams, for one whose first event is expected after 0.9 s"},
	{EdgeQueue, Gauge, "requests", "waiting for a target, as owner"},
	{EdgeQueueAge, Gauge, "milliseconds", "of the oldest request that waits, as owner"},
	{EdgeViewAge, Gauge, "milliseconds", "since the last news of the deployment from another VM, -1 if none is followed"},
	{EdgeVMs, Gauge, "VMs", "that the owners of groups hear"},
	{EdgeLogLinesDropped, Gauge, "lines", "of the log dropped since the start"},
	{EdgeMemory, ByLabel, "bytes", "for callers and targets: held and its limit; waiting: reservations that wait for memory"},
	{EdgeMemoryRefused, ByLabel, "reservations", "of memory that were refused, by reason: short, one (the connection would hold more than one may), released (it has ended, or the attempt that waited has)"},
	{EdgeMemoryCut, ByLabel, "connections", "of callers cut off because memory was short, by what they did: sender, reader; target: the target of their request did not read it"},
	{EdgeConnections, ByLabel, "connections", "of callers, to targets for requests, and kept for orders that are open, and their limits; refused: of callers, beyond the limit or without memory"},
}

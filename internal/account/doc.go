// Package account counts the usage of each organisation and reconciles it.
// Every attempt of a request is recorded twice: the entry VM, which accepted
// the request, records what the request used, and the owner of the target group
// records what the target gave. The two records are the used side and the given
// side.
//
// Totals. Counters never decrease. They are kept per VM incarnation and
// organisation and merged by taking the greater value, so that repeated,
// reordered and ambiguous writes cannot corrupt them. They are written to the
// store under usage/<vm>/<incarnation>. Counters that are not yet in the store
// are replicated to two peers, which write them once the incarnation is gone.
// If an incarnation ends without a final write, the records after its last
// accepted Hold call are lost, which is at most one exchange interval
// (Settings.ExchangeEvery). The report names every such incarnation.
//
// Single requests. The owner sends its given entries to the entry VM, which
// discards a request when both sides have the same number of tokens. A batch of
// entries has a number and is repeated unchanged until it is acknowledged, so
// that it counts once. The report lists each request that has only one side or
// two different sides.
//
// Bounds. A ledger that reaches MaxOpenRequests drops the oldest open request;
// one that reaches MaxOutboxEntries drops the new entry. The totals stay exact.
// Dropped entries are counted per organisation, and the report shows their
// number. Organisations beyond MaxOrganisations are counted together under
// OtherOrganisations. A VM keeps the replicated counters of at most MaxReplicas
// incarnations.
package account

// Package account keeps a fair account of who used what. Every request has two
// entries: the entry VM records what was used, the group's owner what was given.
//
// Totals. Counters rise per VM incarnation and organisation and are merged by
// taking the greater value, so that repeated, reordered and ambiguous writes do
// no harm. They are written to the store under usage/<vm>/<incarnation>. What is
// not yet written is also held by two peers, which write it when the incarnation
// is gone. Loss: the records of an incarnation that ended without a final write,
// from after its last accepted Hold, at most one hold interval. The report names
// every such incarnation.
//
// Single requests. The owner hands its given entries over to the entry VM, which
// forgets a request when both sides have the same tokens. A batch carries a
// number and is repeated unchanged until it is answered, so that it counts once.
// The report lists each request that has one side only or different sides.
//
// Bounds. At MaxOpenRequests the oldest open request is dropped, at
// MaxOutboxEntries the oldest entry to be handed over. Totals stay exact; the
// number of dropped entries is counted per organisation and shown in the
// report. Organisations beyond MaxOrganisations are counted together under
// OtherOrganisations. A peer holds counters of at most MaxHeldIncarnations.
package account

// Package platform is the stand-in for the platform in tests and in the demo:
// an HTTP server of the object API (package platform/httpapi) and of the
// lagging list over memstore. The paths below /control/ switch faults:
//
//	PUT    /control/list           model.Listing, the truth
//	PUT    /control/lag?ms=N       lag of the list
//	PUT    /control/outage?on=true|false
//	POST   /control/faults         JSON list of memstore.Rule, added
//	DELETE /control/faults         removes all rules and ends an outage
//	POST   /control/apply-delayed?n=N   lets N delayed writes (0: all) land
//	PUT    /control/rates          memstore.Rates
//	GET    /control/counts         memstore.Counts
//
// A call that ends in errs.StoreAmbiguous gets no response: its connection is
// cut, as when the response is lost on the way.
package platform

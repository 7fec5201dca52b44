// Package declare is the operators' library: organisations, their shares,
// adapters, versions and kinds of requests in a few lines of Go, printed as the
// YAML document that "cicadaslip apply -f -" submits.
//
//	d := declare.New("garment-8b").LoadRate(2)
//	counter := d.Organisation("counter", declare.HashToken(token)).Share(3)
//	counter.Adapter("coats", "garment-8b", "v1", "v2")
//	counter.Kind("quote").Worth(4).Within(3 * time.Second)
//	counter.Kind("booking").Service("booking-stock").AtMostOnce().Worth(10).Within(5 * time.Second)
//	declare.Print(d)
//
// The declaration is checked as a whole when it is written: every fault is
// reported with its path, and an invalid declaration prints nothing.
package declare

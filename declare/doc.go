// Package declare is a library with which operators declare organisations, their
// shares, adapters, versions and kinds of requests in a few lines of Go, and print
// them as the YAML document that "cicadaslip apply -f -" submits.
//
//	d := declare.New("garment-8b").LoadRate(2)
//	counter := d.Organisation("counter", declare.HashToken(token)).Share(3)
//	counter.Adapter("coats", "garment-8b", "v1", "v2")
//	counter.Kind("quote").Worth(4).Within(3 * time.Second)
//	counter.Kind("booking").Service("booking-stock").AtMostOnce().Worth(10).Within(5 * time.Second)
//	declare.Print(d)
//
// Write and Print validate the declaration as a whole: they report every fault with
// its path, and write no document for an invalid declaration.
package declare

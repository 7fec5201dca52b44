// Command baltzips prints the configuration of the Baltzips deployment: a
// garment repair counter in Riga, Kurzeme and Latgale. The seven entry VMs,
// nine runners and the booking and stock service are not part of the
// configuration; the platform lists them.
//
//	go run ./declare/examples/baltzips | cicadaslip apply -f - --base 0
package main

import (
	"fmt"
	"time"

	"cicadaslip/declare"
)

const (
	baseModel          = "garment-8b"
	adaptersPerShop    = 1000 // one per maker of garments, 3,000 in all
	loadsPerSecond     = 2    // capacity of the weights store
	bookingApplication = "booking-stock"
	quoteDeadline      = 3 * time.Second  // the customer waits at the counter
	writeUpDeadline    = 90 * time.Second // an answer has several thousand tokens
	bookingDeadline    = 5 * time.Second
	stockDeadline      = 2 * time.Second
	mainShopShare      = 2.0 // Riga has about twice as many customers as each of the other shops
	otherShopShare     = 1.0
)

func main() { declare.Print(deployment()) }

// deployment returns the declaration of the whole deployment.
func deployment() *declare.Declaration {
	d := declare.New(baseModel).LoadRate(loadsPerSecond)
	declareShop(d, "riga", mainShopShare)
	declareShop(d, "kurzeme", otherShopShare)
	declareShop(d, "latgale", otherShopShare)
	return d
}

// declareShop declares the organisation of one shop.
func declareShop(d *declare.Declaration, name string, share float64) {
	// A real deployment declares only the hash of its token. This token is public
	// and only for the demo.
	o := d.Organisation(name, declare.HashToken("baltzips-"+name+"-demo-token")).Share(share)
	for i := range adaptersPerShop {
		o.Adapter(fmt.Sprintf("maker-%04d", i), baseModel, "v1")
	}
	o.Kind("quote").Worth(5).Within(quoteDeadline)
	o.Kind("write-up").Worth(1).Within(writeUpDeadline)
	o.Kind("repair-booking").Service(bookingApplication).AtMostOnce().Worth(10).Within(bookingDeadline)
	o.Kind("stock-lookup").Service(bookingApplication).Worth(2).Within(stockDeadline)
}

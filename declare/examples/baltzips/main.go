// Command baltzips prints the configuration of the Baltzips deployment: a
// garment repair counter in Riga, Kurzeme and Latgale. The seven entry VMs,
// nine runners and the booking and stock service are not part of it; the
// platform lists them.
//
//	go run ./declare/examples/baltzips | cicadaslip apply -f - --base 0
package main

import (
	"fmt"
	"time"

	"cicadaslip/declare"
)

const (
	baseModel        = "garment-8b"
	adaptersPerShop  = 1000 // one per maker of garments, 3,000 in all
	weightsLoadRate  = 2    // loads/s
	bookingAndStock  = "booking-stock"
	quoteDeadline    = 3 * time.Second  // a customer waits at the counter
	writeUpDeadline  = 90 * time.Second // several thousand tokens
	bookingDeadline  = 5 * time.Second
	stockDeadline    = 2 * time.Second
	shareOfMainShop  = 2.0 // Riga has about twice the customers of the others
	shareOfOtherShop = 1.0
)

func main() { declare.Print(deployment()) }

func deployment() *declare.Declaration {
	d := declare.New(baseModel).LoadRate(weightsLoadRate)
	shop(d, "riga", shareOfMainShop)
	shop(d, "kurzeme", shareOfOtherShop)
	shop(d, "latgale", shareOfOtherShop)
	return d
}

func shop(d *declare.Declaration, name string, share float64) {
	// A real deployment declares the hash alone; the token is for the demo.
	o := d.Organisation(name, declare.HashToken("baltzips-"+name+"-demo-token")).Share(share)
	for i := range adaptersPerShop {
		o.Adapter(fmt.Sprintf("maker-%04d", i), baseModel, "v1")
	}
	o.Kind("quote").Worth(5).Within(quoteDeadline)
	o.Kind("write-up").Worth(1).Within(writeUpDeadline)
	o.Kind("repair-booking").Service(bookingAndStock).AtMostOnce().Worth(10).Within(bookingDeadline)
	o.Kind("stock-lookup").Service(bookingAndStock).Worth(2).Within(stockDeadline)
}

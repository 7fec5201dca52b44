// Command jegue prints the configuration of the Jegue deployment: booking and
// payment tools in the regions sertão, litoral and agreste. The seven entry
// VMs, eighteen runners and the ride booking service are not part of it; the
// platform lists them.
//
//	go run ./declare/examples/jegue | cicadaslip apply -f - --base 0
package main

import (
	"fmt"
	"time"

	"cicadaslip/declare"
)

const (
	baseModel          = "trail-8b"
	adaptersPerRegion  = 1000 // one per trail operator, 3,000 in all
	weightsLoadRate    = 4    // loads/s
	rideBooking        = "ride-booking"
	questionDeadline   = 4 * time.Second
	itineraryDeadline  = 30 * time.Second
	summaryDeadline    = 15 * time.Second
	paymentDeadline    = 8 * time.Second
	bookingDeadline    = 8 * time.Second
	shareOfEachRegion  = 1.0
	worthOfTransaction = 20.0 // a lost payment or booking loses the customer
)

func main() { declare.Print(deployment()) }

func deployment() *declare.Declaration {
	d := declare.New(baseModel).LoadRate(weightsLoadRate)
	for _, region := range []string{"sertao", "litoral", "agreste"} {
		operators(d, region)
	}
	return d
}

func operators(d *declare.Declaration, region string) {
	// A real deployment declares the hash alone; the token is for the demo.
	o := d.Organisation(region, declare.HashToken("jegue-"+region+"-demo-token")).Share(shareOfEachRegion)
	for i := range adaptersPerRegion {
		o.Adapter(fmt.Sprintf("trails-%04d", i), baseModel, "v1")
	}
	o.Kind("trail-question").Worth(2).Within(questionDeadline)
	o.Kind("itinerary").Worth(4).Within(itineraryDeadline)
	o.Kind("ride-summary").Worth(1).Within(summaryDeadline)
	o.Kind("token-payment").Service(rideBooking).AtMostOnce().Worth(worthOfTransaction).Within(paymentDeadline)
	o.Kind("ride-booking").Service(rideBooking).AtMostOnce().Worth(worthOfTransaction).Within(bookingDeadline)
}

// Command jegue prints the configuration of the Jegue deployment: booking and
// payment tools in the regions sertão, litoral and agreste. The seven entry
// VMs, eighteen runners and the ride booking service are not part of the
// configuration; the platform lists them.
//
//	go run ./declare/examples/jegue | cicadaslip apply -f - --base 0
package main

import (
	"fmt"
	"time"

	"cicadaslip/declare"
)

const (
	baseModel              = "trail-8b"
	adaptersPerRegion      = 1000 // one per trail operator, 3,000 in all
	loadsPerSecond         = 4    // capacity of the weights store
	rideBookingApplication = "ride-booking"
	questionDeadline       = 4 * time.Second
	itineraryDeadline      = 30 * time.Second
	summaryDeadline        = 15 * time.Second
	paymentDeadline        = 8 * time.Second
	bookingDeadline        = 8 * time.Second
	regionShare            = 1.0
	transactionWorth       = 20.0 // a lost payment or booking loses the customer
)

func main() { declare.Print(deployment()) }

// deployment returns the declaration of the whole deployment.
func deployment() *declare.Declaration {
	d := declare.New(baseModel).LoadRate(loadsPerSecond)
	for _, region := range []string{"sertao", "litoral", "agreste"} {
		declareRegion(d, region)
	}
	return d
}

// declareRegion declares the organisation of one region.
func declareRegion(d *declare.Declaration, region string) {
	// A real deployment declares only the hash of its token. This token is public
	// and only for the demo.
	o := d.Organisation(region, declare.HashToken("jegue-"+region+"-demo-token")).Share(regionShare)
	for i := range adaptersPerRegion {
		o.Adapter(fmt.Sprintf("trails-%04d", i), baseModel, "v1")
	}
	o.Kind("trail-question").Worth(2).Within(questionDeadline)
	o.Kind("itinerary").Worth(4).Within(itineraryDeadline)
	o.Kind("ride-summary").Worth(1).Within(summaryDeadline)
	o.Kind("token-payment").Service(rideBookingApplication).AtMostOnce().Worth(transactionWorth).Within(paymentDeadline)
	o.Kind("ride-booking").Service(rideBookingApplication).AtMostOnce().Worth(transactionWorth).Within(bookingDeadline)
}

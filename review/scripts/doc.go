//go:build review

// Command scripts plays the scripted cases 6 to 8 of the review. It starts cicadaslipd as
// separate processes with the command of the deploy file, on loopback, and takes the place of
// the platform's store, of the runners and of the clients.
//
//	scripts CASE RECORD TROUBLE
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run. With 0 for TROUBLE it leaves the disruption out.
package main

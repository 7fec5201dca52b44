//go:build review

// Command standin plays the scripted cases of the review. It starts cicadaslipd as separate
// processes with the command of the deploy file, on loopback, and takes the place of the
// platform's store, of the model runners, of the plain services and of the clients.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

// Command standin-service runs a stand-in for a plain service on one address and
// its control API on a second address.
package main

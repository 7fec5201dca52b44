// Command standin-service runs a stand-in plain service on one address, and
// its control API on a second one.
package main

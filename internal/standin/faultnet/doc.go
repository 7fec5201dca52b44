// Package faultnet holds the connections of the stand-ins, which can be made
// silent to model a network path that fails without closing.
package faultnet

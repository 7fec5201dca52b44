// Package model defines the identifiers and entities that several packages share.
// Its only behaviour is to parse and format identifiers.
package model

// Package model holds the identifiers and entities that several packages
// share. It has no behaviour beyond parsing and formatting identifiers.
package model

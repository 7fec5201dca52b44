// Package credentials finds the organisation that holds the key of a request. It keeps
// digests of keys only.
package credentials

// Package loopback reserves addresses for the servers of tests.
package loopback

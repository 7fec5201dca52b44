// Package configcheck finds faults in a configuration of the users' platform before it is put into
// force, and what it changes. A daemon accepts a configuration with such faults, leaves out what it
// can't use and serves the rest.
package configcheck

// Package metastore is a stand-in of the users' platform's metadata store, as far
// as the tests need it: objects by kind and name, revisions, conditional writes,
// lists and watches, and faults.
package metastore

// Package acceptretry keeps servers accepting connections after a lack of file descriptors or
// memory. Without it the HTTP library stops serving at the first such failure.
package acceptretry

// Package prefix keeps a bounded index of the prompt prefixes of the requests that
// were recently sent to each target. The index is a hint: a target may have evicted
// an indexed prefix from its cache. Off is the baseline. The package returns no
// errors.
package prefix

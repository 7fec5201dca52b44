// Package prefix holds a bounded index of the prompt prefixes that targets
// served recently. The index is a hint: an entry may be out of date. Off is
// the baseline. It returns no errors.
package prefix
